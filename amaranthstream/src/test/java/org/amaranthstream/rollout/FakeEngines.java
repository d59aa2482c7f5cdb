package org.amaranthstream.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * Fake engines whose work advances only when a test requests it. The text of a sample lists the
 * weight version of each of its tokens, so that a test can check the sample's segments.
 */
final class FakeEngines implements WorkRunner {
  /** Text at the end of each complete sample. */
  static final String END = "end";

  private static final Chunk END_OF_TEXT = new Chunk(0, 0, END, Optional.empty(), Optional.empty());

  private final Map<RequestId, Run> runs = new LinkedHashMap<>();
  private long version;
  private boolean rejecting;
  private int submitted;

  @Override
  public void submit(Work work, WorkListener listener) {
    submitted++;
    if (rejecting) {
      ErrorDetail error = ErrorDetail.of(ResultCode.NOT_RUN_OVERLOADED, "overloaded");
      listener.onOutcome(new Outcome.NotRun(error, Optional.of(Duration.ofMillis(100))));
      return;
    }
    runs.put(work.id(), new Run(work, listener));
  }

  @Override
  public void cancel(RequestId id) {
    Run run = runs.remove(id);
    if (run != null) {
      ErrorDetail error = ErrorDetail.of(ResultCode.OUTCOME_UNKNOWN_CANCELLED, "cancelled");
      run.listener.onOutcome(new Outcome.OutcomeUnknown(error));
    }
  }

  void setVersion(long version) {
    this.version = version;
  }

  /** Sets whether new work is rejected as overloaded. */
  void setRejecting(boolean rejecting) {
    this.rejecting = rejecting;
  }

  int running() {
    return runs.size();
  }

  int submitted() {
    return submitted;
  }

  List<Work> works() {
    return runs.values().stream().map(run -> run.work).toList();
  }

  /** Generates one token for each running sample. */
  void generateToken() {
    for (Run run : new ArrayList<>(runs.values())) {
      run.generate(Optional.of(WeightVersion.of(version)));
    }
  }

  /** Generates a last token for the run at {@code index} and completes it. */
  void finish(int index) {
    Run run = take(index);
    run.generate(Optional.of(WeightVersion.of(version)));
    run.listener.onChunk(END_OF_TEXT);
    run.end(run.tokens);
  }

  void finishAll() {
    while (running() > 0) {
      finish(0);
    }
  }

  /** Completes the run at {@code index} with a last token that has no weight version. */
  void finishUnversioned(int index) {
    Run run = take(index);
    run.generate(Optional.empty());
    run.end(run.tokens);
  }

  /** Completes the run at {@code index} with a token count that is one too high. */
  void finishTruncated(int index) {
    Run run = take(index);
    run.generate(Optional.of(WeightVersion.of(version)));
    run.end(run.tokens + 1);
  }

  /** Ends the run at {@code index} with an unknown outcome, as if its engine crashed. */
  void crashRun(int index) {
    ErrorDetail error = ErrorDetail.of(ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST, "engine crashed");
    take(index).listener.onOutcome(new Outcome.OutcomeUnknown(error));
  }

  private Run take(int index) {
    RequestId id = new ArrayList<>(runs.keySet()).get(index % runs.size());
    return runs.remove(id);
  }

  private static final class Run {
    private final Work work;
    private final WorkListener listener;
    private int tokens;

    private Run(Work work, WorkListener listener) {
      this.work = work;
      this.listener = listener;
    }

    private void generate(Optional<WeightVersion> version) {
      String text = version.map(v -> v + ",").orElse("?,");
      Incarnation incarnation = Incarnation.of("e1");
      listener.onChunk(new Chunk(tokens, 1, text, version, Optional.of(incarnation)));
      tokens++;
    }

    private void end(long stated) {
      String seed = Long.toString(((Payload.Generate) work.payload()).seed());
      listener.onOutcome(
          new Outcome.Completed(
              new CompletedResponse(
                  BackendServerId.of("engine-1"),
                  HttpStatus.of(200),
                  "application/json",
                  stated,
                  seed)));
    }
  }
}
