package org.amaranthstream.calls;

import java.time.Duration;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;

/**
 * Policy for the attempts of one request.
 *
 * <p>It weighs two conditions. If a server is slow or unresponsive for a while, a hedged attempt
 * after part of the latency objective lets the request still finish in time. If there are many
 * requests at once, each further attempt adds to the load, so the route limits their number.
 *
 * @param isRepeatable true if the request may run more than once
 * @param isStream true if the response is streamed to the caller as it arrives
 * @param isResumable true if the caller may resume an interrupted stream
 * @param maxAttempts the maximum number of attempts, without those that servers refuse or never
 *     receive
 * @param isQuarantinable true if the request may be rejected because servers crashed under its
 *     content
 * @param mayRelay true if the request may go through a peer, which is not relayed again
 * @param hedgeAfter the time without a response after which a hedged attempt goes to another server
 */
public record CallPolicy(
    boolean isRepeatable,
    boolean isStream,
    boolean isResumable,
    int maxAttempts,
    boolean isQuarantinable,
    boolean mayRelay,
    Duration hedgeAfter) {
  /** The share of the latency objective before the first hedged attempt. */
  private static final double HEDGE_SHARE = 0.5;

  private static final double MILLION = 1e6;

  private static final CallPolicy OWED =
      new CallPolicy(true, false, false, 1, false, true, Duration.ZERO);

  /**
   * Returns the policy for an idempotent request that is owed a response. Its sender itself decides
   * on each repetition.
   */
  public static CallPolicy owed() {
    return OWED;
  }

  /** Returns the policy for requests of {@code route}. */
  public static CallPolicy of(Route route) {
    long hedgeMillis = (long) (route.latencyObjective().toNanos() * HEDGE_SHARE / MILLION);
    boolean isStream = route.kind() == RouteKind.STREAMING;
    boolean isResumable = isStream && route.isResumable();
    boolean isRepeatable = route.kind() == RouteKind.IDEMPOTENT || isResumable;
    return new CallPolicy(
        isRepeatable,
        isStream,
        isResumable,
        isRepeatable ? route.maxAttempts() : 1,
        true,
        true,
        Duration.ofMillis(Math.max(1, hedgeMillis)));
  }

  /** Returns the policy for a request that a peer has relayed, for its remaining attempts. */
  CallPolicy relayed(int attempts) {
    return new CallPolicy(
        isRepeatable, isStream, isResumable, attempts, isQuarantinable, false, hedgeAfter);
  }

  /** Returns true if a caller sent the request, false if this product did for a job. */
  boolean isFromCaller() {
    return isQuarantinable;
  }

  /** Returns true if a second server may receive the request while the first has not responded. */
  boolean mayHedge() {
    return isRepeatable && !isStream && maxAttempts > 1;
  }
}
