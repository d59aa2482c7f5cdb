package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.function.Supplier;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/** Builder of {@link RolloutService}. */
public final class RolloutServiceBuilder {
  private final RolloutCounters counters = new RolloutCounters();
  private @Nullable EntryVmId self;
  private @Nullable Duty duty;
  private @Nullable TimerService timers;
  private @Nullable WorkRunner runner;
  private @Nullable DeliveryTokenCodec codec;
  private @Nullable WorkClassSource classes;
  private @Nullable Supplier<RequestId> requestIds;
  private DecisionLog decisionLog = decision -> {};
  private OwnerLink ownerLink = OwnerLink.none();
  private RolloutLimits limits = RolloutLimits.defaults();
  private GenerateAhead generateAhead = MeasuredGenerateAhead.create();
  private VersionForecast versionForecast = VersionForecast.linear();

  RolloutServiceBuilder() {}

  /** Sets the entry VM of this process. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder self(EntryVmId self) {
    this.self = self;
    return this;
  }

  /** Sets the decision thread's duty. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder duty(Duty duty) {
    this.duty = duty;
    return this;
  }

  /** Sets timers whose tasks run on the decision thread. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder timers(TimerService timers) {
    this.timers = timers;
    return this;
  }

  /** Sets what runs the work of slots. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder runner(WorkRunner runner) {
    this.runner = runner;
    return this;
  }

  /** Sets the codec of delivery tokens. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder codec(DeliveryTokenCodec codec) {
    this.codec = codec;
    return this;
  }

  /** Sets the source of the classes of work. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder classes(WorkClassSource classes) {
    this.classes = classes;
    return this;
  }

  /** Sets what mints the ids of requests. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder requestIds(Supplier<RequestId> requestIds) {
    this.requestIds = requestIds;
    return this;
  }

  /** Sets the receiver of decision records; by default they are dropped. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder decisionLog(DecisionLog decisionLog) {
    this.decisionLog = decisionLog;
    return this;
  }

  /** Sets the link to other owners; by default there is none. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder ownerLink(OwnerLink ownerLink) {
    this.ownerLink = ownerLink;
    return this;
  }

  /** Sets the limits. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder limits(RolloutLimits limits) {
    this.limits = limits;
    return this;
  }

  /** Sets the choice of the steps ahead; by default by measured times. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder generateAhead(GenerateAhead generateAhead) {
    this.generateAhead = generateAhead;
    return this;
  }

  /** Sets the forecast of weight versions; linear by default. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder versionForecast(VersionForecast versionForecast) {
    this.versionForecast = versionForecast;
    return this;
  }

  /**
   * Returns the service.
   *
   * @throws NullPointerException if a mandatory part was not set
   */
  public RolloutService build() {
    return new RolloutService(this);
  }

  Duty decisionDuty() {
    return checkNotNull(duty, "duty");
  }

  OwnerLink peerLink() {
    return ownerLink;
  }

  GenerateAhead stepsAheadPolicy() {
    return generateAhead;
  }

  VersionForecast forecastPolicy() {
    return versionForecast;
  }

  RolloutContext context() {
    return new RolloutContext(
        checkNotNull(self, "self"),
        checkNotNull(timers, "timers"),
        checkNotNull(runner, "runner"),
        checkNotNull(codec, "codec"),
        checkNotNull(classes, "classes"),
        checkNotNull(requestIds, "requestIds"),
        decisionLog,
        limits,
        counters,
        new SampleBufferUsage(limits.maxBufferedChars()));
  }
}
