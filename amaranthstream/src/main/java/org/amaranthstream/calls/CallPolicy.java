package org.amaranthstream.calls;

import java.time.Duration;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;

/**
 * What may be done for one request.
 *
 * <p>Pure. Answers two load patterns: a server that is slow or silent for a while, where a second
 * attempt after part of the latency objective saves the request; and many requests at once, where
 * each further attempt would add to the load, so their number stays within the route's bound.
 *
 * @param isRepeatable true if the request may run more than once
 * @param isStream true if the answer is passed on as it arrives
 * @param maxAttempts the number of attempts that may reach a server
 * @param hedgeAfter the time without an answer after which another server is tried as well
 */
public record CallPolicy(
    boolean isRepeatable, boolean isStream, int maxAttempts, Duration hedgeAfter) {
  /** Share of the latency objective that the first attempt has for itself. */
  private static final double HEDGE_SHARE = 0.5;

  private static final double MILLION = 1e6;

  /** Returns the policy for requests of {@code route}. */
  public static CallPolicy of(Route route) {
    boolean isRepeatable = route.kind() == RouteKind.IDEMPOTENT;
    long hedgeMillis = (long) (route.latencyObjective().toNanos() * HEDGE_SHARE / MILLION);
    return new CallPolicy(
        isRepeatable,
        route.kind() == RouteKind.STREAMING,
        isRepeatable ? route.maxAttempts() : 1,
        Duration.ofMillis(Math.max(1, hedgeMillis)));
  }
}
