package org.amaranthstream.servers;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/**
 * One incarnation of a backend server as this process knows it: its registration, what it runs for
 * this process, and how its last requests went.
 *
 * <p>Not thread safe; times are monotonic nanoseconds that callers pass in.
 */
public final class TrackedServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INITIAL_AVOIDANCE = Duration.ofMillis(500);
  private static final Duration MAX_AVOIDANCE = Duration.ofSeconds(4);
  private static final Duration FULL_AVOIDANCE = Duration.ofMillis(60);

  private ServerRegistration registration;
  private boolean isDraining;
  private boolean isRemoved;
  private int inFlight;
  private int failures;
  private long avoidUntilNanos = Long.MIN_VALUE;
  private long fullUntilNanos = Long.MIN_VALUE;
  private final EventIntervalAverage eventInterval = new EventIntervalAverage();
  private final Map<ModelId, WeightVersion> versions = new HashMap<>();

  TrackedServer(ServerRegistration registration) {
    this.registration = registration;
    update(registration);
  }

  /**
   * Takes a newer registration of the same incarnation; a server that drains never stops to drain.
   */
  void update(ServerRegistration newer) {
    registration = newer;
    isDraining |= newer.isDraining();
    versions.putAll(newer.versions());
  }

  void markRemoved() {
    isRemoved = true;
  }

  /** Returns the registration. */
  public ServerRegistration registration() {
    return registration;
  }

  /** Returns the server's name. */
  public BackendServerId id() {
    return registration.id();
  }

  /** Returns true if new requests may be sent to the server. */
  public boolean isAvailable() {
    return !isDraining && !isRemoved;
  }

  /** Returns true if the server is not registered any more. */
  public boolean isRemoved() {
    return isRemoved;
  }

  /** Returns true if requests should go elsewhere if they can. */
  public boolean isAvoided(long nowNanos) {
    return nowNanos < avoidUntilNanos || nowNanos < fullUntilNanos;
  }

  /** Returns the number of requests of this process that the server holds. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the share of the server's slots that this process uses. */
  public double load() {
    return (double) inFlight / registration.slots();
  }

  /** A request is sent to the server. */
  public void onRequestSent() {
    inFlight++;
  }

  /** A request that was sent has ended. */
  public void onRequestEnded() {
    inFlight--;
  }

  /** The server answered. */
  public void onResponse() {
    failures = 0;
    avoidUntilNanos = Long.MIN_VALUE;
  }

  /** The server refused a request because it is full. */
  public void onFull(long nowNanos) {
    fullUntilNanos = nowNanos + FULL_AVOIDANCE.toNanos();
  }

  /** A request got no answer or a broken one, which is the server's fault or its connection's. */
  public void onFailed(long nowNanos, String reason) {
    failures = Math.min(failures + 1, 8);
    long avoidance = INITIAL_AVOIDANCE.toNanos() << (failures - 1);
    avoidUntilNanos = nowNanos + Math.min(avoidance, MAX_AVOIDANCE.toNanos());
    logger.atInfo().log(
        "event=server_avoided server=%s failures=%d for_ms=%d reason=\"%s\"",
        id(), failures, (avoidUntilNanos - nowNanos) / 1_000_000, reason);
  }

  /** A stream of the server had two events {@code intervalNanos} apart. */
  public void onEventInterval(long intervalNanos, long nowNanos) {
    eventInterval.add(intervalNanos, nowNanos);
  }

  /** Returns the average time between two events of a stream, empty while it is not known. */
  public OptionalDouble averageEventIntervalNanos(long nowNanos) {
    return eventInterval.averageNanos(nowNanos);
  }

  /** The server told, in this incarnation, which weight version it holds. */
  public void onVersion(ModelId model, WeightVersion version) {
    versions.put(model, version);
  }

  /** Returns the weight version of {@code model} that the server last told. */
  public Optional<WeightVersion> version(ModelId model) {
    return Optional.ofNullable(versions.get(model));
  }

  /** Returns the models that the server holds. */
  public boolean holds(ModelId model) {
    return versions.containsKey(model);
  }
}
