package org.amaranthstream.jobs;

import java.time.Duration;
import org.amaranthstream.prompts.PromptRun;
import org.amaranthstream.servers.TrackedServer;

/**
 * Estimate of the time that servers need to read prompts, which the placement of items adds to the
 * expected end of a run.
 *
 * <p>Used on the thread of the scheduler. An estimate must be fast, as it is made for each pair of
 * a waiting item and a server with a free slot.
 */
@FunctionalInterface
public interface ItemPromptCosts {
  /** Treats all servers alike: no server is known to hold a part of any prompt. */
  ItemPromptCosts NONE = (server, item) -> Duration.ZERO;

  /**
   * Returns the time that server needs to read the part of the item's prompt that it does not hold.
   */
  Duration prefillTime(TrackedServer server, ItemSpec item);

  /** Records that a run of the item starts at {@code server}. */
  default PromptRun begin(TrackedServer server, ItemSpec item) {
    return PromptRun.UNTRACKED;
  }
}
