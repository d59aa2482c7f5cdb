package org.amaranthstream.servers;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/**
 * State that this process keeps for one incarnation of a backend server: its registration, the
 * requests in flight from this process, and the outcome of recent requests.
 *
 * <p>Not thread safe. Callers pass times as monotonic nanoseconds.
 */
public final class TrackedServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INITIAL_AVOIDANCE = Duration.ofMillis(500);
  private static final Duration MAX_AVOIDANCE = Duration.ofSeconds(4);
  private static final Duration FULL_AVOIDANCE = Duration.ofMillis(60);

  /** The time within which the registration of a server that has restarted is read. */
  private static final Duration REGISTRATION_DELAY = Duration.ofMillis(1_000);

  /** Bounds the interval between requests to a server that names a limit of zero. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.001;

  private final Optional<ServiceReach> reach;
  private ServerRegistration registration;
  private boolean isDraining;
  private boolean isRemoved;
  private int inFlight;
  private int failures;
  private OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private OptionalLong lastFailureNanos = OptionalLong.empty();
  private long avoidUntilNanos = Long.MIN_VALUE;
  private long fullUntilNanos = Long.MIN_VALUE;
  private final EventIntervalAverage eventInterval = new EventIntervalAverage();
  private final PaceEstimate pace = new PaceEstimate();
  private final Map<ModelId, WeightVersion> versions = new HashMap<>();

  TrackedServer(ServerRegistration registration) {
    this(registration, Optional.empty());
  }

  /**
   * Creates the state of a newly registered incarnation.
   *
   * @param reach the detector that is notified of requests and responses, empty for none
   */
  TrackedServer(ServerRegistration registration, Optional<ServiceReach> reach) {
    this.registration = registration;
    this.reach = reach;
    update(registration);
  }

  /** Applies a newer registration of the same incarnation. A draining server stays draining. */
  void update(ServerRegistration newer) {
    registration = newer;
    isDraining |= newer.isDraining();
    versions.putAll(newer.versions());
  }

  /** Records that this incarnation accepts no new requests any more. */
  void markDraining() {
    isDraining = true;
  }

  void markRemoved() {
    isRemoved = true;
  }

  /** Returns the newest registration. */
  public ServerRegistration registration() {
    return registration;
  }

  /** Returns the id of the server. */
  public BackendServerId id() {
    return registration.id();
  }

  /** Returns true if the server accepts new requests: it is neither draining nor removed. */
  public boolean isAvailable() {
    return !isDraining && !isRemoved;
  }

  /** Returns true if this incarnation is not registered any more. */
  public boolean isRemoved() {
    return isRemoved;
  }

  /** Returns true if other servers should be preferred, after a failure or a refusal. */
  public boolean isAvoided(long nowNanos) {
    return nowNanos < avoidUntilNanos || nowNanos < fullUntilNanos;
  }

  /** Returns the number of requests in flight from this process. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the requests in flight as a share of the server's slots. */
  public double load() {
    return (double) inFlight / registration.slots();
  }

  /**
   * Records the limit that a response of the server names.
   *
   * @param limit the requests a second that the server takes from all daemons, empty for no limit
   */
  public void onLimit(OptionalDouble limit) {
    if (!limit.equals(requestsPerSecond)) {
      String text = limit.isPresent() ? Double.toString(limit.getAsDouble()) : "unlimited";
      logger.atInfo().log("event=server_limit server=%s requests_per_second=%s", id(), text);
    }
    requestsPerSecond = limit;
  }

  /** Returns true if a request to the server needs a permit. */
  public boolean isLimited() {
    return requestsPerSecond.isPresent();
  }

  /** Returns the time between two requests that the server takes; zero without a limit. */
  public Duration requestInterval() {
    double perSecond =
        Math.max(requestsPerSecond.orElse(Double.MAX_VALUE), MIN_REQUESTS_PER_SECOND);
    return Duration.ofNanos((long) (Duration.ofSeconds(1).toNanos() / perSecond));
  }

  /** Records that a request is sent to the server. */
  public void onRequestSent() {
    inFlight++;
    reach.ifPresent(ServiceReach::onRequestSent);
  }

  /** Records that a request that was sent has ended. */
  public void onRequestEnded() {
    inFlight--;
    reach.ifPresent(ServiceReach::onRequestEnded);
  }

  /** Records that the server responded, which ends its avoidance after failures. */
  public void onResponse() {
    reach.ifPresent(ServiceReach::onResponse);
    failures = 0;
    avoidUntilNanos = Long.MIN_VALUE;
  }

  /** Records that the server refused a request because it is full. */
  public void onFull(long nowNanos) {
    reach.ifPresent(ServiceReach::onResponse);
    fullUntilNanos = nowNanos + FULL_AVOIDANCE.toNanos();
  }

  /** Records a failure of the server or its connection: no response, or an incomplete one. */
  public void onFailed(long nowNanos, String reason) {
    reach.ifPresent(ServiceReach::onFailed);
    lastFailureNanos = OptionalLong.of(nowNanos);
    failures = Math.min(failures + 1, 8);
    long avoidance = INITIAL_AVOIDANCE.toNanos() << (failures - 1);
    avoidUntilNanos = nowNanos + Math.min(avoidance, MAX_AVOIDANCE.toNanos());
    logger.atInfo().log(
        "event=server_avoided server=%s failures=%d for_ms=%d reason=\"%s\"",
        id(), failures, (avoidUntilNanos - nowNanos) / 1_000_000, reason);
  }

  /**
   * Returns true if the server failed so recently that it may have restarted under its id, perhaps
   * with other software, and that its new registration has not been read yet.
   */
  public boolean mayHaveRestarted(long nowNanos) {
    return lastFailureNanos.isPresent()
        && nowNanos - lastFailureNanos.getAsLong() < REGISTRATION_DELAY.toNanos();
  }

  /** Records that a report or order, which needs no slot, is sent to the server. */
  public void onControlSent() {
    reach.ifPresent(ServiceReach::onRequestSent);
  }

  /**
   * Records that a report or order has ended.
   *
   * @param hasResponded true if the server sent any response
   */
  public void onControlEnded(boolean hasResponded) {
    if (hasResponded) {
      reach.ifPresent(ServiceReach::onResponse);
    }
    reach.ifPresent(ServiceReach::onRequestEnded);
  }

  /** Records that a part of a response has arrived. */
  public void onProgress() {
    reach.ifPresent(ServiceReach::onResponse);
  }

  /** Records the interval between two consecutive events of a stream. */
  public void onEventInterval(long intervalNanos, long nowNanos) {
    eventInterval.add(intervalNanos, nowNanos);
    pace.add(intervalNanos, nowNanos);
  }

  /** Returns the median interval between two events of a stream, empty if it is unknown. */
  public OptionalDouble paceNanos(long nowNanos) {
    return pace.medianNanos(nowNanos);
  }

  /** Returns the average interval between two events of a stream, empty if it is unknown. */
  public OptionalDouble averageEventIntervalNanos(long nowNanos) {
    return eventInterval.averageNanos(nowNanos);
  }

  /** Records the weight version that this incarnation reported for {@code model}. */
  public void onVersion(ModelId model, WeightVersion version) {
    versions.put(model, version);
  }

  /** Returns the weight version that the server last reported for {@code model}. */
  public Optional<WeightVersion> version(ModelId model) {
    return Optional.ofNullable(versions.get(model));
  }

  /** Returns the weight version that the server last reported for each model that it has loaded. */
  public ImmutableMap<ModelId, WeightVersion> versions() {
    return ImmutableMap.copyOf(versions);
  }

  /** Returns true if the server has loaded {@code model}. */
  public boolean holds(ModelId model) {
    return versions.containsKey(model);
  }
}
