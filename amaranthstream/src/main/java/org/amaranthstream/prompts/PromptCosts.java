package org.amaranthstream.prompts;

import java.time.Duration;
import org.amaranthstream.servers.TrackedServer;

/** Costs of reading prompts, by what each server still holds. */
public interface PromptCosts {
  /** Costs that are the same at all servers, so that prompts do not influence the placement. */
  PromptCosts NONE =
      new PromptCosts() {
        @Override
        public Duration readTime(TrackedServer server, Prompt prompt) {
          return Duration.ZERO;
        }

        @Override
        public double readTimeAsLoad(TrackedServer server, Prompt prompt) {
          return 0;
        }

        @Override
        public PromptRun begin(TrackedServer server, Prompt prompt) {
          return PromptRun.UNTRACKED;
        }
      };

  /** Returns the time that {@code server} needs to read the part of the prompt it does not hold. */
  Duration readTime(TrackedServer server, Prompt prompt);

  /**
   * Returns the time to read the rest of the prompt as a share of the time of a whole run, which
   * compares with the load of servers: a share 1 of load delays a request by a run.
   */
  double readTimeAsLoad(TrackedServer server, Prompt prompt);

  /** Records that a request is sent to {@code server}. */
  PromptRun begin(TrackedServer server, Prompt prompt);
}
