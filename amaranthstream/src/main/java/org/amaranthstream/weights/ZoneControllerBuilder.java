package org.amaranthstream.weights;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.amaranthstream.config.ClassKind;
import org.amaranthstream.config.OperatorConfig;
import org.amaranthstream.config.Pool;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/** Builder of {@link ZoneController}. */
public final class ZoneControllerBuilder {
  private static final Duration DEFAULT_FRESHNESS_TARGET = Duration.ofSeconds(6);
  private static final String KEY_PREFIX = "controllers/";
  private static final String ORDERED_VERSION_PREFIX = "ordered/";

  private @Nullable AvailabilityZoneId zone;
  private @Nullable PoolId pool;
  private @Nullable String holder;
  private @Nullable Supplier<OperatorConfig> config;
  private @Nullable KeyValueStore store;
  private @Nullable Duty duty;
  private @Nullable TimerService timers;
  private @Nullable BackendDirectory directory;
  private @Nullable WeightRegistry registry;
  private @Nullable EngineClient engineClient;
  private SwapPacing pacing = FreshnessSwapPacing.within(DEFAULT_FRESHNESS_TARGET);
  private BooleanSupplier mayCompete = () -> true;

  ZoneControllerBuilder() {}

  /** Sets the local availability zone and the pool. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder scope(AvailabilityZoneId zone, PoolId pool) {
    this.zone = zone;
    this.pool = pool;
    return this;
  }

  /** Sets the text that identifies this incarnation of this entry VM. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder holder(String holder) {
    this.holder = holder;
    return this;
  }

  /** Sets the source of the current configuration. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder config(Supplier<OperatorConfig> config) {
    this.config = config;
    return this;
  }

  /** Sets the key-value service. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder store(KeyValueStore store) {
    this.store = store;
    return this;
  }

  /** Sets the decision thread's duty. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder duty(Duty duty) {
    this.duty = duty;
    return this;
  }

  /** Sets the timers, whose tasks run on the decision thread. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder timers(TimerService timers) {
    this.timers = timers;
    return this;
  }

  /** Sets the source of the servers. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder directory(BackendDirectory directory) {
    this.directory = directory;
    return this;
  }

  /** Sets the source of the newest versions. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder registry(WeightRegistry registry) {
    this.registry = registry;
    return this;
  }

  /** Sets the client that sends the orders. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder engineClient(EngineClient engineClient) {
    this.engineClient = engineClient;
    return this;
  }

  /** Sets the policy for the number of concurrent swaps; by default all servers swap within 6 s. */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder pacing(SwapPacing pacing) {
    this.pacing = pacing;
    return this;
  }

  /**
   * Sets whether this entry VM competes for the lease, true by default. If {@code mayCompete}
   * returns false, this only saves calls, as the lease is exclusive in any case.
   */
  @CanIgnoreReturnValue
  public ZoneControllerBuilder mayCompete(BooleanSupplier mayCompete) {
    this.mayCompete = mayCompete;
    return this;
  }

  /**
   * Returns the controller.
   *
   * @throws NullPointerException if a mandatory part was not set
   */
  public ZoneController build() {
    checkNotNull(config, "config");
    checkNotNull(directory, "directory");
    checkNotNull(registry, "registry");
    checkNotNull(engineClient, "engineClient");
    return new ZoneController(this);
  }

  ControllerLease lease() {
    return new ControllerLease(
        KEY_PREFIX + checkNotNull(zone, "zone") + "/" + poolId(),
        checkNotNull(holder, "holder"),
        checkNotNull(store, "store"),
        checkNotNull(duty, "duty"),
        timerService(),
        mayCompete);
  }

  HighestOrderedVersion highestOrderedVersion() {
    return new HighestOrderedVersion(
        ORDERED_VERSION_PREFIX + checkNotNull(zone, "zone") + "/" + poolId(),
        checkNotNull(store, "store"),
        checkNotNull(duty, "duty"),
        timerService());
  }

  PoolId poolId() {
    return checkNotNull(pool, "pool");
  }

  Optional<Pool> pool() {
    return Optional.ofNullable(configuration().pools().get(poolId()));
  }

  /** Returns the smallest staleness bound of the training classes that use the pool. */
  int smallestStalenessBound() {
    return configuration().classes().values().stream()
        .filter(c -> c.kind() == ClassKind.TRAINING && c.pool().equals(poolId()))
        .mapToInt(WorkClass::stalenessBound)
        .min()
        .orElse(Integer.MAX_VALUE);
  }

  TimerService timerService() {
    return checkNotNull(timers, "timers");
  }

  BackendDirectory backendDirectory() {
    return checkNotNull(directory, "directory");
  }

  WeightRegistry weightRegistry() {
    return checkNotNull(registry, "registry");
  }

  EngineClient client() {
    return checkNotNull(engineClient, "engineClient");
  }

  SwapPacing swapPacing() {
    return pacing;
  }

  private OperatorConfig configuration() {
    return checkNotNull(config, "config").get();
  }
}
