package org.amaranthstream.rollout;

import java.util.function.Supplier;
import org.amaranthstream.decisions.DecisionKind;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.decisions.DecisionRecord;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.time.TimerService;

/** The dependencies that the steps of one entry VM share. Used on the decision thread only. */
record RolloutContext(
    EntryVmId self,
    TimerService timers,
    WorkRunner runner,
    DeliveryTokenCodec codec,
    WorkClassSource classes,
    Supplier<RequestId> requestIds,
    DecisionLog decisionLog,
    RolloutLimits limits,
    RolloutCounters counters,
    SampleBufferUsage bufferUsage) {

  /** Records a decision at the current time. */
  void record(RequestId request, DecisionKind kind, String choice, String reason) {
    decisionLog.record(new DecisionRecord(request, kind, choice, reason, timers.nowNanos()));
  }
}
