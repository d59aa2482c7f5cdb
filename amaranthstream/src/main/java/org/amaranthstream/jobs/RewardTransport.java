package org.amaranthstream.jobs;

import java.time.Duration;
import java.util.function.Consumer;
import org.amaranthstream.routing.Route;

/** Transport that sends reward calls to the services of their routes. */
@FunctionalInterface
public interface RewardTransport {

  /**
   * Sends a reward call to one server of the route's services.
   *
   * @param timeout the time after which the call ends without an outcome of the server
   * @param listener receives the outcome once, possibly before this method returns
   */
  StageRun start(Route route, RewardCall call, Duration timeout, Consumer<RewardOutcome> listener);
}
