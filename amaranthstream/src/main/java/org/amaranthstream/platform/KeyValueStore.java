package org.amaranthstream.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;

/**
 * The platform's key-value service: compare-and-swap, leases and watches.
 *
 * <p>Thread safe. Futures complete normally with a sealed reply or a {@link Result}; they never
 * complete exceptionally. Reads may be stale; only compare-and-swap is authoritative.
 */
public interface KeyValueStore {

  /** Reads the entry of {@code key}; empty if there is none. */
  CompletableFuture<Result<Optional<KvEntry>>> get(String key);

  /** Reads all entries whose key starts with {@code prefix}. */
  CompletableFuture<Result<List<KvEntry>>> list(String prefix);

  /**
   * Writes {@code value} if the entry's revision is {@code expected}; revision 0 means that the
   * entry must not exist. An entry that names a lease is deleted when the lease ends.
   */
  CompletableFuture<WriteReply> compareAndSwap(
      String key, Revision expected, byte[] value, Optional<LeaseId> lease);

  /** Deletes the entry of {@code key} if its revision is {@code expected}. */
  CompletableFuture<WriteReply> compareAndDelete(String key, Revision expected);

  /** Grants a lease that ends {@code ttl} after its last renewal. */
  CompletableFuture<Result<LeaseId>> grantLease(Duration ttl);

  /** Renews a lease; a failure means that the lease may have ended. */
  CompletableFuture<Result<LeaseId>> renewLease(LeaseId lease);

  /** Ends a lease and deletes the entries that name it. */
  CompletableFuture<Result<LeaseId>> revokeLease(LeaseId lease);

  /**
   * Waits until the entry of {@code key} is newer than {@code after}, at most {@code wait}; empty
   * if nothing newer was seen. The service counts a waiting watch as one call.
   */
  CompletableFuture<Result<Optional<KvEntry>>> watch(String key, Revision after, Duration wait);
}
