package org.amaranthstream.ingress;

import java.time.Duration;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.WorkClassId;

/** An observer of the outcomes of calls, for metrics. Thread safe. */
@FunctionalInterface
public interface CallObserver {

  /** Receives the outcome of a call and the time from its arrival to its outcome. */
  void onOutcome(WorkClassId workClass, Outcome outcome, Duration latency);
}
