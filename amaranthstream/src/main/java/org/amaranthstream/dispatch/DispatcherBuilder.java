package org.amaranthstream.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Random;
import org.amaranthstream.admission.AdmissionPolicy;
import org.amaranthstream.admission.DeadlineAdmission;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.placement.AffinityPlacement;
import org.amaranthstream.placement.ConcurrencyLimit;
import org.amaranthstream.placement.HysteresisHealth;
import org.amaranthstream.placement.LinkBudget;
import org.amaranthstream.placement.PlacementPolicy;
import org.amaranthstream.placement.ReportedSlotsLimit;
import org.amaranthstream.placement.ServerHealth;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Builder of {@link Dispatcher}. The timers, transport, forwarder, directory, region and
 * incarnation are mandatory; the policies have defaults.
 */
public final class DispatcherBuilder {
  private @Nullable TimerService timers;
  private @Nullable BackendTransport transport;
  private @Nullable ZoneForwarder forwarder;
  private @Nullable BackendDirectory directory;
  private @Nullable RegionId region;
  private @Nullable Incarnation incarnation;
  private DecisionLog decisionLog = decision -> {};
  private ServerFeedback feedback = ServerFeedback.none();
  private DispatchSettings settings = DispatchSettings.defaults();
  private AdmissionPolicy admission = DeadlineAdmission.create();
  private PlacementPolicy placement = AffinityPlacement.create(new Random());
  private QueueOrder.Factory queueOrder = SlackOrder::create;
  private RetryPolicy retryPolicy = IdempotentRetry.create();
  private RetryBudget retryBudget = SuccessShareBudget.create();
  private LinkBudget linkBudget = LinkBudget.unlimited();
  private ConcurrencyLimit.Factory limits = ReportedSlotsLimit::startingAt;
  private ServerHealth.Factory healths = HysteresisHealth::create;
  private ConnectionProbe connectionProbe = ConnectionProbe.none();

  DispatcherBuilder() {}

  /** Sets the timer service of the decision thread. */
  @CanIgnoreReturnValue
  public DispatcherBuilder timers(TimerService timers) {
    this.timers = timers;
    return this;
  }

  /** Sets the transport to backend servers. */
  @CanIgnoreReturnValue
  public DispatcherBuilder transport(BackendTransport transport) {
    this.transport = transport;
    return this;
  }

  /** Sets the forwarder of requests to other availability zones. */
  @CanIgnoreReturnValue
  public DispatcherBuilder forwarder(ZoneForwarder forwarder) {
    this.forwarder = forwarder;
    return this;
  }

  /** Sets the directory of backend servers and availability zones. */
  @CanIgnoreReturnValue
  public DispatcherBuilder directory(BackendDirectory directory) {
    this.directory = directory;
    return this;
  }

  /** Sets the region of this daemon. */
  @CanIgnoreReturnValue
  public DispatcherBuilder region(RegionId region) {
    this.region = region;
    return this;
  }

  /** Sets the incarnation of this daemon, which is part of its attempt ids to make them unique. */
  @CanIgnoreReturnValue
  public DispatcherBuilder incarnation(Incarnation incarnation) {
    this.incarnation = incarnation;
    return this;
  }

  /** Sets the log that receives decision records. */
  @CanIgnoreReturnValue
  public DispatcherBuilder decisionLog(DecisionLog decisionLog) {
    this.decisionLog = checkNotNull(decisionLog, "decisionLog");
    return this;
  }

  /** Sets the receiver of reports of draining that servers send in responses. */
  @CanIgnoreReturnValue
  public DispatcherBuilder feedback(ServerFeedback feedback) {
    this.feedback = checkNotNull(feedback, "feedback");
    return this;
  }

  /** Sets the limits, intervals and timeouts. */
  @CanIgnoreReturnValue
  public DispatcherBuilder settings(DispatchSettings settings) {
    this.settings = checkNotNull(settings, "settings");
    return this;
  }

  /** Sets the policy that admits or rejects requests. */
  @CanIgnoreReturnValue
  public DispatcherBuilder admission(AdmissionPolicy admission) {
    this.admission = checkNotNull(admission, "admission");
    return this;
  }

  /** Sets the policy that chooses the server or zone of a request. */
  @CanIgnoreReturnValue
  public DispatcherBuilder placement(PlacementPolicy placement) {
    this.placement = checkNotNull(placement, "placement");
    return this;
  }

  /** Sets the factory of queue orders, one for each pool. */
  @CanIgnoreReturnValue
  public DispatcherBuilder queueOrder(QueueOrder.Factory queueOrder) {
    this.queueOrder = checkNotNull(queueOrder, "queueOrder");
    return this;
  }

  /** Sets the policy that decides on retries. */
  @CanIgnoreReturnValue
  public DispatcherBuilder retryPolicy(RetryPolicy retryPolicy) {
    this.retryPolicy = checkNotNull(retryPolicy, "retryPolicy");
    return this;
  }

  /** Sets the retry budget. */
  @CanIgnoreReturnValue
  public DispatcherBuilder retryBudget(RetryBudget retryBudget) {
    this.retryBudget = checkNotNull(retryBudget, "retryBudget");
    return this;
  }

  /** Sets the budget for traffic to other regions. */
  @CanIgnoreReturnValue
  public DispatcherBuilder linkBudget(LinkBudget linkBudget) {
    this.linkBudget = checkNotNull(linkBudget, "linkBudget");
    return this;
  }

  /** Sets the factory of concurrency limits, one for each server. */
  @CanIgnoreReturnValue
  public DispatcherBuilder limits(ConcurrencyLimit.Factory limits) {
    this.limits = checkNotNull(limits, "limits");
    return this;
  }

  /** Sets the factory of health trackers, one for each server. */
  @CanIgnoreReturnValue
  public DispatcherBuilder healths(ServerHealth.Factory healths) {
    this.healths = checkNotNull(healths, "healths");
    return this;
  }

  /** Sets the probe that distinguishes stalled connections from unresponsive servers. */
  @CanIgnoreReturnValue
  public DispatcherBuilder connectionProbe(ConnectionProbe connectionProbe) {
    this.connectionProbe = checkNotNull(connectionProbe, "connectionProbe");
    return this;
  }

  /**
   * Returns a running dispatcher; its timers run until it is closed.
   *
   * @throws NullPointerException if a mandatory collaborator is not set
   */
  public Dispatcher build() {
    return new Dispatcher(
        new DispatcherParts(
            checkNotNull(timers, "timers"),
            checkNotNull(transport, "transport"),
            checkNotNull(forwarder, "forwarder"),
            checkNotNull(directory, "directory"),
            checkNotNull(region, "region"),
            checkNotNull(incarnation, "incarnation"),
            decisionLog,
            feedback,
            settings,
            admission,
            placement,
            queueOrder,
            retryPolicy,
            retryBudget,
            linkBudget,
            limits,
            healths,
            connectionProbe));
  }
}
