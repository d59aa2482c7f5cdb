package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/** A builder of {@link ClaimService}. The setters that name no default are mandatory. */
public final class ClaimServiceBuilder {
  private final ClaimCounters counters = new ClaimCounters();
  private @Nullable Claimant self;
  private @Nullable KeyValueStore store;
  private @Nullable Duty duty;
  private @Nullable TimerService timers;
  private InstantSource clock = InstantSource.system();
  private RandomGenerator random = new SecureRandom();
  private ClaimLimits limits = ClaimLimits.defaults();
  private ClaimantLink link = ClaimantLink.none();
  private OutcomeLookup lookup = OutcomeLookup.none();
  private DecisionLog decisionLog = decision -> {};

  ClaimServiceBuilder() {}

  /** Sets the entry VM and incarnation of this daemon. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder self(Claimant self) {
    this.self = self;
    return this;
  }

  /** Sets the key-value service. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder store(KeyValueStore store) {
    this.store = store;
    return this;
  }

  /** Sets the task queue of the decision thread. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder duty(Duty duty) {
    this.duty = duty;
    return this;
  }

  /** Sets the timers. Their tasks must run on the decision thread. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder timers(TimerService timers) {
    this.timers = timers;
    return this;
  }

  /** Sets the clock that determines the age of keys. The default is the system clock. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder clock(InstantSource clock) {
    this.clock = clock;
    return this;
  }

  /** Sets the generator of nonces and issued keys. The default is a {@link SecureRandom}. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder random(RandomGenerator random) {
    this.random = random;
    return this;
  }

  /** Sets the limits. The default is {@link ClaimLimits#defaults}. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder limits(ClaimLimits limits) {
    this.limits = limits;
    return this;
  }

  /** Sets the link to preferred claimants. The default link has no peers. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder link(ClaimantLink link) {
    this.link = link;
    return this;
  }

  /** Sets the lookup of previous attempts. The default lookup finds none. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder lookup(OutcomeLookup lookup) {
    this.lookup = lookup;
    return this;
  }

  /** Sets the log of decision records. By default they are discarded. */
  @CanIgnoreReturnValue
  public ClaimServiceBuilder decisionLog(DecisionLog decisionLog) {
    this.decisionLog = decisionLog;
    return this;
  }

  /**
   * Builds the service.
   *
   * @throws NullPointerException if a mandatory value was not set
   */
  public ClaimService build() {
    return new ClaimService(this);
  }

  Claimant claimant() {
    return checkNotNull(self, "self");
  }

  TimerService timerService() {
    return checkNotNull(timers, "timers");
  }

  InstantSource wallClock() {
    return clock;
  }

  RandomGenerator randomness() {
    return random;
  }

  ClaimLimits claimLimits() {
    return limits;
  }

  ClaimantLink claimantLink() {
    return link;
  }

  OutcomeLookup outcomeLookup() {
    return lookup;
  }

  DecisionLog decisions() {
    return decisionLog;
  }

  ClaimCounters claimCounters() {
    return counters;
  }

  ClaimPageWriter pageWriter() {
    return new ClaimPageWriter(
        checkNotNull(store, "store"), checkNotNull(duty, "duty"), timerService(), limits, counters);
  }
}
