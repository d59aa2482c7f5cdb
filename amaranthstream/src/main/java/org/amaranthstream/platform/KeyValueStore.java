package org.amaranthstream.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;

/**
 * A client of the platform's key-value service, which has compare-and-swap, leases and watches.
 *
 * <p>Thread safe. Futures complete normally with a sealed reply or a {@link Result}; they never
 * complete exceptionally. Reads may be stale; only compare-and-swap is authoritative.
 */
public interface KeyValueStore {

  /** Reads the entry of {@code key}; the result is empty if there is none. */
  CompletableFuture<Result<Optional<KvEntry>>> get(String key);

  /** Reads all entries whose key starts with {@code prefix}. */
  CompletableFuture<Result<List<KvEntry>>> list(String prefix);

  /**
   * Writes {@code value} if the entry's revision is {@code expected}; revision 0 means that the
   * entry must not exist. An entry that is attached to a lease is deleted when the lease ends.
   */
  CompletableFuture<WriteReply> compareAndSwap(
      String key, Revision expected, byte[] value, Optional<LeaseId> lease);

  /** Deletes the entry of {@code key} if its revision is {@code expected}. */
  CompletableFuture<WriteReply> compareAndDelete(String key, Revision expected);

  /** Grants a lease that expires {@code ttl} after its last renewal. */
  CompletableFuture<Result<LeaseId>> grantLease(Duration ttl);

  /** Renews a lease; after a failure, the lease may have expired. */
  CompletableFuture<Result<LeaseId>> renewLease(LeaseId lease);

  /** Revokes a lease and deletes the entries attached to it. */
  CompletableFuture<Result<LeaseId>> revokeLease(LeaseId lease);

  /**
   * Waits at most {@code wait} for a revision of {@code key} that is newer than {@code after}; the
   * result is empty if there was none. The service counts a watch as one call, however long it
   * waits.
   */
  CompletableFuture<Result<Optional<KvEntry>>> watch(String key, Revision after, Duration wait);
}
