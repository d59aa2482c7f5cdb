package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.time.TimerService;

/**
 * A runner that retries a transaction until its outcome is known or a timeout has passed.
 *
 * <p>A transaction that got no response may have been applied. Its retry then conflicts with its
 * own writes; the runner recognizes them by their bytes and reports the transaction as committed.
 * Each transaction must therefore have an expectation on a key that it writes, and write bytes
 * there that no other transaction writes.
 *
 * <p>Not thread safe: used on the thread of its timers, on which the store must complete its
 * futures too.
 */
public final class TransactionRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration MIN_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(800);

  private final TransactionalStore store;
  private final TimerService timers;

  private TransactionRunner(TransactionalStore store, TimerService timers) {
    this.store = store;
    this.timers = timers;
  }

  /** Returns a runner that sends transactions to {@code store}. */
  public static TransactionRunner create(TransactionalStore store, TimerService timers) {
    return new TransactionRunner(checkNotNull(store, "store"), checkNotNull(timers, "timers"));
  }

  /**
   * Runs {@code transaction}.
   *
   * @param timeout the time after which no further attempt is started
   * @return the outcome; after the timeout, {@link TransactionReply.Unknown} if an attempt may have
   *     taken effect or still can, and {@link TransactionReply.NotDone} if none can
   */
  public CompletableFuture<TransactionReply> run(Transaction transaction, Duration timeout) {
    Execution execution = new Execution(transaction, timers.nowNanos() + timeout.toNanos());
    execution.send();
    return execution.outcome;
  }

  private final class Execution {
    private final Transaction transaction;
    private final long deadlineNanos;
    private final CompletableFuture<TransactionReply> outcome = new CompletableFuture<>();
    private Duration backoff = MIN_BACKOFF;
    private boolean mayHaveTakenEffect;

    private Execution(Transaction transaction, long deadlineNanos) {
      this.transaction = transaction;
      this.deadlineNanos = deadlineNanos;
    }

    private void send() {
      store.transact(transaction).thenAccept(this::onReply);
    }

    private void onReply(TransactionReply reply) {
      if (reply instanceof TransactionReply.Conflict conflict) {
        onConflict(conflict);
      } else if (reply instanceof TransactionReply.NotDone notDone) {
        retry(notDone.error());
      } else if (reply instanceof TransactionReply.Unknown unknown) {
        mayHaveTakenEffect = true;
        retry(unknown.error());
      } else {
        outcome.complete(reply);
      }
    }

    private void onConflict(TransactionReply.Conflict conflict) {
      Optional<Revision> ownWrite = mayHaveTakenEffect ? findOwnWrite(conflict) : Optional.empty();
      if (ownWrite.isPresent()) {
        outcome.complete(new TransactionReply.Committed(ownWrite.get()));
      } else {
        outcome.complete(conflict);
      }
    }

    private Optional<Revision> findOwnWrite(TransactionReply.Conflict conflict) {
      for (KvEntry entry : conflict.current()) {
        for (Transaction.Write write : transaction.writes()) {
          if (write.key().equals(entry.key()) && Arrays.equals(write.value(), entry.value())) {
            return Optional.of(entry.revision());
          }
        }
      }
      return Optional.empty();
    }

    private void retry(ErrorDetail error) {
      long remainingNanos = deadlineNanos - timers.nowNanos();
      if (remainingNanos <= backoff.toNanos()) {
        outcome.complete(
            mayHaveTakenEffect
                ? new TransactionReply.Unknown(error)
                : new TransactionReply.NotDone(error));
        return;
      }
      logger.atFine().log("event=transaction_repeated error=\"%s\"", error);
      timers.after(backoff, this::send);
      Duration doubled = backoff.multipliedBy(2);
      backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
    }
  }
}
