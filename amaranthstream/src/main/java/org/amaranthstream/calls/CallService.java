package org.amaranthstream.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.amaranthstream.prompts.Prompt;
import org.amaranthstream.prompts.PromptCosts;
import org.amaranthstream.prompts.PromptReader;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ReachMonitor;
import org.amaranthstream.servers.RequestPermits;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Service that forwards requests of callers to backend servers.
 *
 * <p>Must be used on one thread.
 */
public final class CallService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ServerDirectory directory;
  private final ServerChoice choice;
  private final CallTransport transport;
  private final TimerService timers;
  private final CrashTracker crashes;
  private final RequestPermits permits;
  private final StreamResumptions resumptions;
  private final Optional<ReachMonitor> reach;
  private final CallRelay relay;
  private final PromptReader promptReader;
  private final PromptCosts promptCosts;
  private final UsageRecorder usage;
  private final Random random = new Random();
  private final Set<ActiveCall> active = new HashSet<>();
  private final ResponseTimes responseTimes;

  private CallService(Builder builder) {
    this.directory = checkNotNull(builder.directory, "directory");
    this.choice = checkNotNull(builder.choice, "choice");
    this.transport = checkNotNull(builder.transport, "transport");
    this.timers = checkNotNull(builder.timers, "timers");
    this.crashes = new CrashTracker(checkNotNull(builder.poison, "poison"), timers);
    this.permits = checkNotNull(builder.permits, "permits");
    this.reach = builder.reach;
    this.relay = builder.relay;
    this.promptReader = builder.promptReader;
    this.promptCosts = builder.promptCosts;
    this.usage = builder.usage;
    this.resumptions = new StreamResumptions(builder.origins, directory, timers);
    this.responseTimes = new ResponseTimes(timers.nowNanos());
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Forwards a request to a backend server and its response to the caller.
   *
   * @param timeLeft the time until the caller's deadline
   */
  public void start(Route route, OutboundCall call, Duration timeLeft, CallerExchange exchange) {
    start(route, CallPolicy.of(route), call, timeLeft, exchange);
  }

  /**
   * Forwards a request to a backend server with a policy other than that of its route.
   *
   * @param timeLeft the time until the sender's deadline
   */
  public void start(
      Route route,
      CallPolicy policy,
      OutboundCall call,
      Duration timeLeft,
      CallerExchange exchange) {
    List<TrackedServer> servers = directory.available(chooseService(route).service());
    CandidateServers candidates = CandidateServers.of(servers, ImmutableSet.of());
    start(route, policy, call, candidates, timeLeft, exchange);
  }

  private void start(
      Route route,
      CallPolicy policy,
      OutboundCall call,
      CandidateServers candidates,
      Duration timeLeft,
      CallerExchange exchange) {
    Duration time = timeLeft.compareTo(route.timeout()) < 0 ? timeLeft : route.timeout();
    CallContent content =
        policy.isQuarantinable()
            ? new QuarantinableContent(crashes, route.host(), call)
            : ExemptContent.INSTANCE;
    ActiveCall activeCall =
        new ActiveCall(this, route, policy, call, content, candidates, time, exchange);
    active.add(activeCall);
    exchange.onCallerDisconnected(activeCall::cancel);
    activeCall.start();
  }

  /**
   * Forwards a request that a peer has relayed. It is not relayed again.
   *
   * @param timeLeft the time until the sender's deadline
   */
  public void startRelayed(
      Route route, RelayedCall relayed, Duration timeLeft, CallerExchange exchange) {
    CallPolicy policy = relayed.isOwed() ? CallPolicy.owed() : CallPolicy.of(route);
    int attempts = Math.min(policy.maxAttempts(), relayed.maxAttempts());
    CandidateServers candidates =
        CandidateServers.of(serversFor(route, relayed), relayed.permittedServers());
    start(route, policy.relayed(attempts), relayed.call(), candidates, timeLeft, exchange);
  }

  /** Returns the servers of the service that the sender has chosen, if it names its servers. */
  private List<TrackedServer> serversFor(Route route, RelayedCall relayed) {
    return relayed.permittedServers().isEmpty()
        ? directory.available(chooseService(route).service())
        : route.services().stream()
            .flatMap(service -> directory.available(service.service()).stream())
            .toList();
  }

  private WeightedService chooseService(Route route) {
    ImmutableList<WeightedService> services = route.services();
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    int remainingWeight = total > 0 ? random.nextInt(total) : 0;
    for (WeightedService service : services) {
      remainingWeight -= service.weight();
      if (remainingWeight < 0) {
        return service;
      }
    }
    return services.get(0);
  }

  /**
   * Returns the longest time that a recent request of {@code route} has taken, empty if none was
   * completed.
   */
  public Optional<Duration> longestResponse(Route route) {
    return responseTimes.longest(route.id(), timers.nowNanos());
  }

  /** Fails the requests in flight, because this process ends. */
  public void shutDown() {
    List.copyOf(active).forEach(ActiveCall::shutDown);
  }

  /** Returns the number of requests in flight. */
  public int activeCount() {
    return active.size();
  }

  TimerService timers() {
    return timers;
  }

  ServerDirectory directory() {
    return directory;
  }

  CallTransport transport() {
    return transport;
  }

  RequestPermits permits() {
    return permits;
  }

  CallRelay relay() {
    return relay;
  }

  PromptCosts promptCosts() {
    return promptCosts;
  }

  /** Returns the prompt of a call, empty if the route's requests do not describe prompts. */
  Optional<Prompt> promptOf(Route route, OutboundCall call) {
    return route.isSharingPrompts() ? promptReader.read(call.headers()) : Optional.empty();
  }

  BeginReport beginReport(CallPolicy policy, OutboundCall call) {
    return BeginReport.of(policy, call, usage, timers);
  }

  /** Returns true if this daemon reaches none of {@code servers}, which provide one service. */
  boolean isLost(List<TrackedServer> servers) {
    return !servers.isEmpty()
        && reach.isPresent()
        && reach.get().isLost(servers.get(0).registration().service());
  }

  StreamResumptions resumptions() {
    return resumptions;
  }

  CrashTracker crashes() {
    return crashes;
  }

  /**
   * Chooses a server for the next attempt of a request. A suspect goes to a server that runs no
   * other suspect, if there is one, so that the next crash shows which of them is the cause. A
   * server without a limit is preferred. What a server holds of the prompt is weighed against its
   * load.
   */
  Optional<TrackedServer> choose(
      List<TrackedServer> servers,
      Predicate<TrackedServer> mayTry,
      boolean isSuspect,
      Optional<Prompt> prompt) {
    Predicate<TrackedServer> isAllowed = mayTry.and(TrackedServer::isAvailable);
    Optional<TrackedServer> isolated =
        isSuspect
            ? chooseUnlimitedFirst(servers, isAllowed.and(server -> !runsSuspect(server)), prompt)
            : Optional.empty();
    return isolated.isPresent() ? isolated : chooseUnlimitedFirst(servers, isAllowed, prompt);
  }

  private Optional<TrackedServer> chooseUnlimitedFirst(
      List<TrackedServer> servers, Predicate<TrackedServer> isAllowed, Optional<Prompt> prompt) {
    long now = timers.nowNanos();
    ToDoubleFunction<TrackedServer> cost =
        server -> prompt.map(p -> promptCosts.readTimeAsLoad(server, p)).orElse(0.0);
    Optional<TrackedServer> unlimited =
        choice.choose(servers, isAllowed.and(server -> !server.isLimited()), cost, now);
    return unlimited.isPresent() ? unlimited : choice.choose(servers, isAllowed, cost, now);
  }

  private boolean runsSuspect(TrackedServer server) {
    return active.stream().anyMatch(call -> call.runsSuspectOn(server));
  }

  void onCallEnded(ActiveCall activeCall, ResultCode code, String detail) {
    active.remove(activeCall);
    if (code == ResultCode.OK) {
      responseTimes.record(activeCall.route().id(), activeCall.elapsed(), timers.nowNanos());
    } else {
      logger.atInfo().log("event=call_ended %s code=%s detail=\"%s\"", activeCall, code, detail);
    }
  }

  /**
   * Builder of {@link CallService}. All properties but the stream origins, the relay, the prompts
   * and the recorder of use are required.
   */
  public static final class Builder {
    private @Nullable ServerDirectory directory;
    private @Nullable ServerChoice choice;
    private @Nullable CallTransport transport;
    private @Nullable TimerService timers;
    private @Nullable PoisonRegistry poison;
    private @Nullable RequestPermits permits;
    private Optional<ReachMonitor> reach = Optional.empty();
    private CallRelay relay = CallRelay.NONE;
    private StreamOrigins origins = LocalStreamOrigins.create();
    private PromptReader promptReader = PromptReader.NONE;
    private PromptCosts promptCosts = PromptCosts.NONE;
    private UsageRecorder usage = UsageRecorder.NONE;

    private Builder() {}

    /** Sets the known servers and the choice among them. */
    @CanIgnoreReturnValue
    public Builder servers(ServerDirectory directory, ServerChoice choice) {
      this.directory = directory;
      this.choice = choice;
      return this;
    }

    /** Sets the transport to the servers. */
    @CanIgnoreReturnValue
    public Builder transport(CallTransport transport) {
      this.transport = transport;
      return this;
    }

    /** Sets the timers, on whose thread the service is used. */
    @CanIgnoreReturnValue
    public Builder timers(TimerService timers) {
      this.timers = timers;
      return this;
    }

    /** Sets the content that servers crashed under, which is kept in sync with other daemons. */
    @CanIgnoreReturnValue
    public Builder poison(PoisonRegistry poison) {
      this.poison = poison;
      return this;
    }

    /** Sets the permits for servers that limit their rate. */
    @CanIgnoreReturnValue
    public Builder permits(RequestPermits permits) {
      this.permits = permits;
      return this;
    }

    /** Sets the registry of streams; without it, only the streams of this process are known. */
    @CanIgnoreReturnValue
    public Builder origins(StreamOrigins origins) {
      this.origins = checkNotNull(origins, "origins");
      return this;
    }

    /** Sets how prompts are read, and what their reading costs at each server. */
    @CanIgnoreReturnValue
    public Builder prompts(PromptReader reader, PromptCosts costs) {
      this.promptReader = checkNotNull(reader, "reader");
      this.promptCosts = checkNotNull(costs, "costs");
      return this;
    }

    /** Sets the recorder of the requests that servers begin; without it they are not counted. */
    @CanIgnoreReturnValue
    public Builder usage(UsageRecorder usage) {
      this.usage = checkNotNull(usage, "usage");
      return this;
    }

    /** Sets the relay through peers, and the monitor that decides when it is used at once. */
    @CanIgnoreReturnValue
    public Builder relay(ReachMonitor reach, CallRelay relay) {
      this.reach = Optional.of(reach);
      this.relay = checkNotNull(relay, "relay");
      return this;
    }

    /**
     * Returns the service.
     *
     * @throws NullPointerException if a required property was not set
     */
    public CallService build() {
      return new CallService(this);
    }
  }
}
