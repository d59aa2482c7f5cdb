package org.amaranthstream.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TransactionRunnerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final SimulatedStoreClient client = store.client();
  private final TransactionRunner runner = TransactionRunner.create(client, timers);

  private static Transaction create(String value) {
    return Transaction.builder().expectAbsent("key").put("key", value.getBytes(UTF_8)).build();
  }

  private CompletableFuture<TransactionReply> run(Transaction transaction, long millis) {
    CompletableFuture<TransactionReply> reply = runner.run(transaction, TIMEOUT);
    timers.advance(Duration.ofMillis(millis));
    return reply;
  }

  @Nested
  class LostResponses {
    @Test
    void recognizesItsOwnWriteAfterLostResponse() {
      client.setWriteFault(WriteFault.ANSWER_LOST, Duration.ZERO);
      CompletableFuture<TransactionReply> reply = run(create("mine"), 1_000);
      client.setWriteFault(WriteFault.NONE, Duration.ZERO);
      timers.advance(Duration.ofSeconds(3));

      assertThat(reply.join())
          .isEqualTo(new TransactionReply.Committed(store.entry("key").get().revision()));
    }

    @Test
    void reportsConflictIfAnotherClientWrote() {
      client.setSilent(true);
      timers.after(
          Duration.ofSeconds(1),
          () -> {
            store.put("key", "theirs".getBytes(UTF_8));
            client.setSilent(false);
          });

      assertThat(run(create("mine"), 4_000).join()).isInstanceOf(TransactionReply.Conflict.class);
    }

    @Test
    void doesNotApplyRetriedTransactionTwice() {
      client.setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(3));
      timers.after(
          Duration.ofSeconds(1), () -> client.setWriteFault(WriteFault.NONE, Duration.ZERO));

      assertThat(run(create("mine"), 2_000).join()).isInstanceOf(TransactionReply.Committed.class);
      long written = store.entry("key").get().revision().value();
      timers.advance(Duration.ofSeconds(5));
      assertThat(store.entry("key").get().revision().value()).isEqualTo(written);
    }
  }

  @Nested
  class Outages {
    @Test
    void isNotDoneIfEverySendWasRefused() {
      client.setRefused(true);

      assertThat(run(create("mine"), 15_000).join()).isInstanceOf(TransactionReply.NotDone.class);
      assertThat(store.entry("key")).isEmpty();
    }

    @Test
    void isUnknownIfSendGotNoResponse() {
      client.setSilent(true);

      assertThat(run(create("mine"), 15_000).join()).isInstanceOf(TransactionReply.Unknown.class);
    }

    @Test
    void commitsOnceTheStoreIsBack() {
      client.setRefused(true);
      CompletableFuture<TransactionReply> reply = run(create("mine"), 4_000);
      client.setRefused(false);
      timers.advance(Duration.ofSeconds(2));

      assertThat(reply.join()).isInstanceOf(TransactionReply.Committed.class);
    }
  }
}
