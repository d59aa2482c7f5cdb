package org.amaranthstream.calls;

import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.time.TimerService;

/**
 * Reports once that a backend server began to run an attempt, as soon as that is known.
 *
 * <p>A stream begins with its first event, any other request when it is sent. An attempt without a
 * response, of which the server did not say that it was not run, counts as begun unless it is a
 * stream. Requests without a workspace and those that callers did not send are not reported. Must
 * be used on one thread.
 */
final class BeginReport {
  private final Optional<WorkspaceId> workspace;
  private final boolean isStream;
  private final UsageRecorder recorder;
  private final TimerService timers;
  private OptionalLong sentNanos = OptionalLong.empty();
  private boolean isReported;

  private BeginReport(
      Optional<WorkspaceId> workspace,
      boolean isStream,
      UsageRecorder recorder,
      TimerService timers) {
    this.workspace = workspace;
    this.isStream = isStream;
    this.recorder = recorder;
    this.timers = timers;
  }

  static BeginReport of(
      CallPolicy policy, OutboundCall call, UsageRecorder recorder, TimerService timers) {
    Optional<WorkspaceId> counted = policy.isFromCaller() ? call.workspace() : Optional.empty();
    return new BeginReport(counted, policy.isStream(), recorder, timers);
  }

  /** Records that the request is written to a connection. */
  void onSent() {
    sentNanos = OptionalLong.of(timers.nowNanos());
  }

  /** Records that the server has responded. */
  void onResponse() {
    if (isReported) {
      return;
    }
    long now = timers.nowNanos();
    report(isStream ? now : sentNanos.orElse(now));
  }

  /** Records that there will be no response, and that the server may have begun. */
  void onUnanswered() {
    if (!isReported && !isStream && sentNanos.isPresent()) {
      report(sentNanos.getAsLong());
    }
  }

  private void report(long atNanos) {
    isReported = true;
    workspace.ifPresent(id -> recorder.onRequestBegan(id, atNanos));
  }
}
