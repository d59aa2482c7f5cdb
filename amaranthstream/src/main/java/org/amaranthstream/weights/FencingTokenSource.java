package org.amaranthstream.weights;

import java.util.Optional;
import org.amaranthstream.ids.FencingNumber;

/**
 * Source of the fencing token of a leader lease. It returns a token only while this daemon is the
 * leader.
 */
public interface FencingTokenSource {

  /** Returns the fencing token, empty if this daemon is not the leader now. */
  Optional<FencingNumber> current();

  /**
   * Returns the fencing token for an action that the caller performs immediately, and records the
   * time of the action.
   *
   * <p>When this daemon releases leadership, the next leader waits relative to the last recorded
   * action.
   *
   * @return the token, empty if this daemon is not the leader now
   */
  Optional<FencingNumber> issueForAction();
}
