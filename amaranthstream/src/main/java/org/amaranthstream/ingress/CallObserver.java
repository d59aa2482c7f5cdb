package org.amaranthstream.ingress;

import java.time.Duration;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.WorkClassId;

/** Observer of the answers to calls, for metrics. Thread safe. */
@FunctionalInterface
public interface CallObserver {

  /** Takes the outcome of a call and the time from its arrival to the end of its answer. */
  void onAnswer(WorkClassId workClass, Outcome outcome, Duration took);
}
