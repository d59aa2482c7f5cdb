package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Optional;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;

/**
 * A set of writes and removals that the store applies atomically if all expectations hold.
 *
 * <p>Immutable and thread safe.
 *
 * <pre>{@code
 * Transaction create =
 *     Transaction.builder().expectAbsent("a").put("a", value).put("b", other).build();
 * }</pre>
 */
public final class Transaction {
  /** Maximum number of expectations, writes and removals together. */
  public static final int MAX_ENTRIES = 32;

  private final ImmutableList<Expectation> expectations;
  private final ImmutableList<Write> writes;
  private final ImmutableList<String> removals;

  /**
   * A condition on the revision of an entry.
   *
   * @param key the key
   * @param revision the expected revision, 0 if the entry must not exist
   */
  public record Expectation(String key, Revision revision) {}

  /**
   * An entry to write.
   *
   * @param key the key
   * @param value the bytes, which callers must not modify
   * @param lease the lease with whose end the entry is removed
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Write(String key, byte[] value, Optional<LeaseId> lease) {}

  private Transaction(Builder builder) {
    this.expectations = builder.expectations.build();
    this.writes = builder.writes.build();
    this.removals = builder.removals.build();
    int entries = expectations.size() + writes.size() + removals.size();
    checkState(
        entries <= MAX_ENTRIES,
        "transaction has %s entries, more than the maximum of %s",
        entries,
        MAX_ENTRIES);
  }

  /** Returns an empty builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the expectations, all of which must hold. */
  public ImmutableList<Expectation> expectations() {
    return expectations;
  }

  /** Returns the entries to write. */
  public ImmutableList<Write> writes() {
    return writes;
  }

  /** Returns the keys to remove. */
  public ImmutableList<String> removals() {
    return removals;
  }

  /** A builder of {@link Transaction}. */
  public static final class Builder {
    private final ImmutableList.Builder<Expectation> expectations = ImmutableList.builder();
    private final ImmutableList.Builder<Write> writes = ImmutableList.builder();
    private final ImmutableList.Builder<String> removals = ImmutableList.builder();

    private Builder() {}

    /** Requires that {@code key} was last written at {@code revision}; 0 means absent. */
    @CanIgnoreReturnValue
    public Builder expect(String key, Revision revision) {
      expectations.add(new Expectation(checkNotNull(key, "key"), revision));
      return this;
    }

    /** Requires that {@code key} does not exist. */
    @CanIgnoreReturnValue
    public Builder expectAbsent(String key) {
      return expect(key, Revision.of(0));
    }

    /** Writes an entry without a lease. */
    @CanIgnoreReturnValue
    public Builder put(String key, byte[] value) {
      writes.add(new Write(checkNotNull(key, "key"), value, Optional.empty()));
      return this;
    }

    /** Writes an entry that is removed when {@code lease} ends. */
    @CanIgnoreReturnValue
    public Builder put(String key, byte[] value, LeaseId lease) {
      writes.add(new Write(checkNotNull(key, "key"), value, Optional.of(lease)));
      return this;
    }

    /** Removes an entry. */
    @CanIgnoreReturnValue
    public Builder remove(String key) {
      removals.add(checkNotNull(key, "key"));
      return this;
    }

    /**
     * Returns the transaction.
     *
     * @throws IllegalStateException if it has more than {@link #MAX_ENTRIES} entries
     */
    public Transaction build() {
      return new Transaction(this);
    }
  }
}
