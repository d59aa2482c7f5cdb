package org.amaranthstream.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;

/**
 * A linearizable key-value store with transactions, leases and watches on prefixes.
 *
 * <p>Futures complete normally with a sealed reply; they never complete exceptionally. A call that
 * got no answer may take effect later, if its conditions still hold then. Implementations state on
 * which thread futures complete.
 */
public interface TransactionalStore {

  /** Reads the entry of {@code key}; empty if there is none. */
  CompletableFuture<Result<Optional<KvEntry>>> get(String key);

  /**
   * Reads a page of the entries whose key starts with {@code prefix}, in the order of their keys.
   *
   * @param after the key after which the page begins, empty for the first page
   */
  CompletableFuture<Result<KvPage>> range(String prefix, String after);

  /**
   * Waits for changes below {@code prefix} that are newer than {@code after}.
   *
   * @param wait the longest time that the store holds the call back
   */
  CompletableFuture<WatchReply> watch(String prefix, Revision after, Duration wait);

  /** Applies all changes of {@code transaction} or none. */
  CompletableFuture<TransactionReply> transact(Transaction transaction);

  /** Grants a lease that ends {@code ttl} after its last renewal arrived. */
  CompletableFuture<Result<GrantedLease>> grantLease(Duration ttl);

  /** Renews a lease. */
  CompletableFuture<RenewalReply> renewLease(LeaseId lease);

  /** Ends a lease and removes the entries that name it. */
  CompletableFuture<Result<LeaseId>> endLease(LeaseId lease);
}
