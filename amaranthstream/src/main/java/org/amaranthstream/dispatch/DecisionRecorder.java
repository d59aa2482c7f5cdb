package org.amaranthstream.dispatch;

import org.amaranthstream.decisions.DecisionKind;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.decisions.DecisionRecord;
import org.amaranthstream.time.TimerService;

/** Writes the records of decisions. */
final class DecisionRecorder {
  private final DecisionLog log;
  private final TimerService timers;

  DecisionRecorder(DecisionLog log, TimerService timers) {
    this.log = log;
    this.timers = timers;
  }

  void record(ActiveRequest request, DecisionKind kind, String choice, String reason) {
    log.record(new DecisionRecord(request.work.id(), kind, choice, reason, timers.nowNanos()));
  }
}
