package org.amaranthstream.decisions;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.Duty;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ExplainerTest {
  private static final EntryVmId VM = EntryVmId.of("lisboa-a-1");
  private static final Incarnation RUN = Incarnation.of("9f3c");
  private static final RequestId ID = RequestId.of(VM, RUN, 1);
  private static final RequestId OTHER = RequestId.of(VM, RUN, 2);

  private static DecisionRecord record(
      RequestId id, DecisionKind kind, String choice, String reason, long millis) {
    return new DecisionRecord(id, kind, choice, reason, millis * 1_000_000);
  }

  private static String text(Result<String> result) {
    return ((Result.Success<String>) result).value();
  }

  private static String error(Result<String> result) {
    Result.Failure<String> failure = (Result.Failure<String>) result;
    assertThat(failure.error().code()).isEqualTo(ResultCode.RECORD_LOST);
    return failure.error().message();
  }

  @Nested
  class Explain {
    private final Explainer explainer = Explainer.of(VM, RUN);

    @Test
    void reportsDecisionsValuesAndAdvice() {
      String text =
          text(
              explainer.explain(
                  ID,
                  ImmutableList.of(
                      record(ID, DecisionKind.ADMIT, "lookup", "estimate 300 ms", 10),
                      record(ID, DecisionKind.PLACE, "e1", "load 1/4 against 2/4", 12),
                      record(
                          ID,
                          DecisionKind.FAIL,
                          "OUTCOME_UNKNOWN_BACKEND_LOST",
                          "e1: connection reset",
                          310))));

      assertThat(text.lines().toList())
          .containsExactly(
              "After 0 ms: admitted as lookup (estimate 300 ms).",
              "After 2 ms: sent to backend server e1 (load 1/4 against 2/4).",
              "After 300 ms: failed with OUTCOME_UNKNOWN_BACKEND_LOST (e1: connection reset).",
              "What to do: it may have run; check the named server's own log for a crash, and"
                  + " check with the caller before it is sent again if it is not idempotent.")
          .inOrder();
    }

    @Test
    void reportsThatTheFirstRecordsWereEvicted() {
      String text =
          text(
              explainer.explain(
                  ID, ImmutableList.of(record(ID, DecisionKind.COMPLETE, "e1", "1 attempts", 1))));

      assertThat(text).startsWith("The first records of request " + ID + " were evicted.");
    }

    @Test
    void reportsThatAllRecordsWereReplaced() {
      assertThat(error(explainer.explain(ID, ImmutableList.of())))
          .contains("newer records replaced them");
    }

    @Test
    void reportsThatTheRecordsWereLostWithAnEarlierRun() {
      RequestId earlier = RequestId.of(VM, Incarnation.of("0001"), 1);

      assertThat(error(explainer.explain(earlier, ImmutableList.of())))
          .contains("were lost with run 0001");
    }

    @Test
    void reportsTheVmThatReceivedTheRequest() {
      RequestId foreign = RequestId.of(EntryVmId.of("porto-a-1"), RUN, 1);

      assertThat(error(explainer.explain(foreign, ImmutableList.of()))).contains("ask porto-a-1");
    }
  }

  @Nested
  class History {
    @Test
    void keepsTheNewestRecords() {
      DecisionHistory history = DecisionHistory.withCapacity(2);
      history.accept(record(ID, DecisionKind.ADMIT, "a", "", 1));
      history.accept(record(OTHER, DecisionKind.ADMIT, "b", "", 2));
      history.accept(record(ID, DecisionKind.COMPLETE, "c", "", 3));

      assertThat(history.size()).isEqualTo(2);
      assertThat(history.of(ID)).hasSize(1);
      assertThat(history.of(ID).get(0).choice()).isEqualTo("c");
    }
  }

  @Nested
  class Log {
    @Test
    void dropsAndCountsWhenTheQueueIsFull() {
      List<Runnable> ring = new ArrayList<>();
      Duty duty = task -> ring.isEmpty() && ring.add(task);
      DecisionHistory history = DecisionHistory.withCapacity(8);
      AsyncDecisionLog log = AsyncDecisionLog.create(duty, ImmutableList.of(history));
      log.record(record(ID, DecisionKind.ADMIT, "a", "", 1));
      log.record(record(ID, DecisionKind.COMPLETE, "b", "", 1));
      ring.forEach(Runnable::run);

      assertThat(log.droppedCount()).isEqualTo(1);
      assertThat(history.size()).isEqualTo(1);
    }
  }
}
