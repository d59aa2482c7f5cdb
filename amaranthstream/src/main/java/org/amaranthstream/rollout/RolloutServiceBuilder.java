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

/** A builder of {@link RolloutService}. */
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

  /** Sets the id of the entry VM of this daemon. */
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

  /** Sets the timers. Their tasks must run on the decision thread. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder timers(TimerService timers) {
    this.timers = timers;
    return this;
  }

  /** Sets the runner of the work of slots. */
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

  /** Sets the lookup of the classes of work. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder classes(WorkClassSource classes) {
    this.classes = classes;
    return this;
  }

  /** Sets the generator of request ids. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder requestIds(Supplier<RequestId> requestIds) {
    this.requestIds = requestIds;
    return this;
  }

  /** Sets the log of decision records. By default, records are discarded. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder decisionLog(DecisionLog decisionLog) {
    this.decisionLog = decisionLog;
    return this;
  }

  /** Sets the link to owners on other entry VMs. By default, there are no peers. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder ownerLink(OwnerLink ownerLink) {
    this.ownerLink = ownerLink;
    return this;
  }

  /** Sets the limits, {@link RolloutLimits#defaults} by default. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder limits(RolloutLimits limits) {
    this.limits = limits;
    return this;
  }

  /** Sets the policy for steps ahead, {@link MeasuredGenerateAhead} by default. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder generateAhead(GenerateAhead generateAhead) {
    this.generateAhead = generateAhead;
    return this;
  }

  /** Sets the forecast of weight versions, {@link VersionForecast#linear} by default. */
  @CanIgnoreReturnValue
  public RolloutServiceBuilder versionForecast(VersionForecast versionForecast) {
    this.versionForecast = versionForecast;
    return this;
  }

  /**
   * Builds the service.
   *
   * @throws NullPointerException if a mandatory property is not set
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
