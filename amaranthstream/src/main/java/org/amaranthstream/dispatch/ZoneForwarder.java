package org.amaranthstream.dispatch;

import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RequestId;

/** Forwards work to an entry VM of another availability zone. Called on the decision thread. */
public interface ZoneForwarder {

  /**
   * Forwards {@code work}; the listener is called on the decision thread. The outcome is {@link
   * Outcome.NotRun} only if nothing was written to a peer link or the peer reported that it did not
   * run the work.
   */
  void forward(AvailabilityZoneId zone, Work work, WorkListener listener);

  /** Cancels forwarded work; unknown ids are ignored. */
  void cancel(RequestId id);
}
