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
 * got no response may take effect later, if its conditions still hold then. Implementations specify
 * the thread on which futures complete.
 */
public interface TransactionalStore {

  /** Reads the entry of {@code key}; the result is empty if there is none. */
  CompletableFuture<Result<Optional<KvEntry>>> get(String key);

  /**
   * Reads a page of the entries whose key starts with {@code prefix}, sorted by key.
   *
   * @param after the last key of the previous page, empty for the first page
   */
  CompletableFuture<Result<KvPage>> range(String prefix, String after);

  /**
   * Waits for changes to keys with {@code prefix} that are newer than {@code after}.
   *
   * @param wait the longest time that the store waits for a change
   */
  CompletableFuture<WatchReply> watch(String prefix, Revision after, Duration wait);

  /** Applies either all changes of {@code transaction} or none. */
  CompletableFuture<TransactionReply> transact(Transaction transaction);

  /** Grants a lease that expires {@code ttl} after the arrival of its last renewal. */
  CompletableFuture<Result<GrantedLease>> grantLease(Duration ttl);

  /** Renews a lease. */
  CompletableFuture<RenewalReply> renewLease(LeaseId lease);

  /** Ends a lease and removes the entries attached to it. */
  CompletableFuture<Result<LeaseId>> endLease(LeaseId lease);
}
