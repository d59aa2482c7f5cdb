package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * The fixed windows in the platform's store, in one entry. Each write expects the revision that its
 * writer has read, so that a window has one set of counts, whoever writes and however late.
 */
final class FixedWindowStore {
  static final String KEY = "amaranthstream/usage/fixed";

  private final TransactionalStore store;

  FixedWindowStore(TransactionalStore store) {
    this.store = checkNotNull(store, "store");
  }

  /** Reads the fixed windows. */
  CompletableFuture<Result<FixedWindows>> read() {
    return store.get(KEY).thenApply(FixedWindowStore::decode);
  }

  private static Result<FixedWindows> decode(Result<Optional<KvEntry>> reply) {
    if (reply instanceof Result.Failure<Optional<KvEntry>> failure) {
      return Result.failure(failure.error());
    }
    Optional<KvEntry> entry = ((Result.Success<Optional<KvEntry>>) reply).value();
    if (entry.isEmpty()) {
      return Result.success(FixedWindows.none());
    }
    try {
      return Result.success(UsageCodec.decodeFixed(entry.get().value(), entry.get().revision()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Result.failure(
          ResultCode.PLATFORM_UNAVAILABLE, "malformed entry of the fixed windows: " + e);
    }
  }

  /**
   * Fixes the counts of a window after the last one.
   *
   * @param oldest the windows before it are dropped, because they are not sent any more
   * @return the fixed windows; empty if it is unknown or wrong that the counts are fixed
   */
  CompletableFuture<Optional<FixedWindows>> fix(
      FixedWindows before, WindowCounts added, long oldest) {
    ImmutableList<WindowCounts> windows =
        Stream.concat(before.windows().stream(), Stream.of(added))
            .filter(counts -> counts.window() >= oldest)
            .collect(ImmutableList.toImmutableList());
    Transaction write =
        Transaction.builder()
            .expect(KEY, before.revision())
            .put(KEY, UsageCodec.encodeFixed(added.window(), windows))
            .build();
    return store
        .transact(write)
        .thenApply(
            reply ->
                reply instanceof TransactionReply.Committed committed
                    ? Optional.of(new FixedWindows(committed.revision(), added.window(), windows))
                    : Optional.empty());
  }
}
