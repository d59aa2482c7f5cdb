package org.amaranthstream.daemon;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.config.ConfigManager;
import org.amaranthstream.config.ConfigStorage;
import org.amaranthstream.config.ConfigTiming;
import org.amaranthstream.config.FileConfigStorage;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.dispatch.DispatchSettings;
import org.amaranthstream.dispatch.Dispatcher;
import org.amaranthstream.dispatch.DispatcherBuilder;
import org.amaranthstream.dispatch.http.HttpBackendTransport;
import org.amaranthstream.dispatch.http.HttpConnectionProbe;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.idempotency.ClaimLimits;
import org.amaranthstream.idempotency.ClaimPageCleaner;
import org.amaranthstream.idempotency.ClaimPageId;
import org.amaranthstream.idempotency.ClaimService;
import org.amaranthstream.idempotency.Claimant;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.ingress.CallRunner;
import org.amaranthstream.ingress.IdempotencyKeyIssuer;
import org.amaranthstream.ingress.RequestIdGenerator;
import org.amaranthstream.membership.BackendPoller;
import org.amaranthstream.membership.HttpLoadSource;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.membership.RendezvousHash;
import org.amaranthstream.peer.PeerNode;
import org.amaranthstream.platform.CallCounts;
import org.amaranthstream.platform.PlatformClient;
import org.amaranthstream.platform.PlatformOptions;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.rollout.DeliveryTokenCodec;
import org.amaranthstream.rollout.RolloutService;
import org.amaranthstream.rollout.RolloutServiceBuilder;
import org.amaranthstream.rollout.TokenKey;
import org.amaranthstream.settings.PeerSeed;
import org.amaranthstream.settings.Settings;
import org.amaranthstream.settings.Timing;

/** The components of a daemon except its HTTP server. Creates, connects, starts and closes them. */
final class DaemonComponents implements AutoCloseable {
  private static final Duration LOAD_READ_TIMEOUT = Duration.ofSeconds(1);

  private final Settings settings;
  private final Threads threads;
  private final FramedHttpClients clients;
  private final LocalVm self;
  private final PlatformClient platform;
  private final MembershipTable table;
  private final ConfigManager config;
  private final WeightService weights;
  private final PeerConfigFetcher configFetcher;
  private final HeartbeatAdapter heartbeatAdapter;
  private final PeerNode peers;
  private final HttpBackendTransport transport;
  private final HttpConnectionProbe probe;
  private final Dispatcher dispatcher;
  private final RequestIdGenerator requestIds;
  private final RolloutService rollout;
  private final PeerOwnerLink ownerLink;
  private final DecisionRecordService decisionRecords;
  private final ClaimService claims;
  private final DaemonMetrics metrics;
  private final DispatcherGauges dispatcherGauges = new DispatcherGauges();

  private DaemonComponents(Settings settings, LocalVm self, PolicySet policies) {
    this.settings = settings;
    this.self = self;
    this.threads = new Threads(settings.limits());
    this.clients = FramedHttpClients.on(threads.vertx());
    this.platform = newPlatform();
    this.table = newTable();
    this.config = newConfigManager();
    this.weights = new WeightService(threads, clients, self, table, config, platform.store());
    this.configFetcher = new PeerConfigFetcher(config);
    this.heartbeatAdapter =
        new HeartbeatAdapter(config, weights.registry(), configFetcher, threads.decisionTimers());
    this.peers = newPeers();
    this.decisionRecords = DecisionRecordService.create(settings, self);
    this.transport = HttpBackendTransport.create(threads.vertx(), clients, threads.decisions());
    this.probe =
        HttpConnectionProbe.create(threads.vertx(), threads.decisions(), threads.decisionTimers());
    this.dispatcher = newDispatcher(policies);
    this.requestIds = RequestIdGenerator.of(self.id(), self.incarnation());
    this.ownerLink = new PeerOwnerLink(table, peers.queries());
    this.rollout = newRollout(policies);
    this.claims = newClaims();
    this.metrics = new DaemonMetrics(this);
  }

  static DaemonComponents create(Settings settings, LocalVm self, PolicySet policies) {
    return new DaemonComponents(settings, self, policies);
  }

  private PlatformClient newPlatform() {
    PlatformOptions options =
        new PlatformOptions(
            settings.platform().url(),
            settings.platform().token(),
            settings.timing().platformTimeout(),
            settings.limits().platformCallsPerSecond());
    return PlatformClient.create(clients, threads.platformTimers(), options);
  }

  private MembershipTable newTable() {
    ImmutableList<VmEntry> seeds =
        settings.peers().stream()
            .map(DaemonComponents::toVmEntry)
            .collect(ImmutableList.toImmutableList());
    return MembershipTable.create(
        self,
        PeerSettingsFactory.membershipSettings(settings),
        seeds,
        threads.decisionTimers().nowNanos());
  }

  private static VmEntry toVmEntry(PeerSeed seed) {
    return new VmEntry(
        seed.vm().value(),
        VmKind.ENTRY,
        seed.region(),
        seed.zone(),
        seed.address().host(),
        seed.address().port(),
        Optional.empty(),
        false);
  }

  private ConfigManager newConfigManager() {
    Timing timing = settings.timing();
    ConfigTiming configTiming =
        new ConfigTiming(
            timing.configWatchWait(),
            timing.configPollInterval(),
            timing.platformTimeout(),
            timing.suspectTimeout());
    return ConfigManager.builder(
            threads.platform(), threads.platformTimers(), platform.store(), configTiming)
        .storage(
            settings
                .dataFolder()
                .<ConfigStorage>map(FileConfigStorage::in)
                .orElse(ConfigStorage.NONE))
        .hasPeers(!settings.peers().isEmpty())
        .build();
  }

  private PeerNode newPeers() {
    return PeerNode.builder()
        .self(self)
        .settings(PeerSettingsFactory.linkSettings(settings))
        .table(table)
        .timers(threads.decisionTimers())
        .decisions(threads.decisions())
        .source(heartbeatAdapter)
        .sink(heartbeatAdapter)
        .build();
  }

  private Dispatcher newDispatcher(PolicySet policies) {
    DispatcherBuilder builder =
        Dispatcher.builder()
            .timers(threads.decisionTimers())
            .transport(transport)
            .forwarder(peers.forwarder())
            .directory(table)
            .region(self.region())
            .incarnation(self.incarnation())
            .decisionLog(decisionRecords.log())
            .settings(dispatchSettings())
            .connectionProbe(probe)
            .feedback(new MembershipFeedback(table, threads.decisionTimers()));
    policies.configure(builder);
    return builder.build();
  }

  private DispatchSettings dispatchSettings() {
    return DispatchSettings.builder()
        .queueCapacity(settings.limits().classQueueRequests())
        .nextChunkTimeout(settings.timing().silentConnectionTimeout())
        .build();
  }

  private RolloutService newRollout(PolicySet policies) {
    List<TokenKey> keys =
        settings.deliveryKeys().stream()
            .map(key -> TokenKey.of(key.id(), key.key().bytes()))
            .toList();
    RolloutServiceBuilder builder =
        RolloutService.builder()
            .self(self.id())
            .duty(threads.decisions())
            .timers(threads.decisionTimers())
            .runner(dispatcher)
            .codec(DeliveryTokenCodec.of(keys))
            .classes(this::findClass)
            .requestIds(requestIds::next)
            .decisionLog(decisionRecords.log())
            .ownerLink(ownerLink);
    policies.configure(builder);
    return builder.build();
  }

  private ClaimService newClaims() {
    return ClaimService.builder()
        .self(Claimant.of(self.id(), self.incarnation()))
        .store(platform.store())
        .duty(threads.decisions())
        .timers(threads.decisionTimers())
        .decisionLog(decisionRecords.log())
        .build();
  }

  private Optional<WorkClass> findClass(WorkClassId id) {
    return Optional.ofNullable(config.current().classes().get(id));
  }

  /**
   * Starts all components and returns the port on which peers connect, or why it cannot be opened.
   */
  Result<Integer> start() {
    dispatcherGauges.start(dispatcher, threads.decisionTimers());
    weights.start();
    config.start();
    configFetcher.attach(peers.queries());
    heartbeatAdapter.attach(dispatcher);
    ownerLink.registerHandler(rollout);
    decisionRecords.attach(peers.queries());
    Result<Integer> port = peers.start(dispatcher);
    if (port instanceof Result.Success) {
      startPolling();
    }
    return port;
  }

  /** Returns true if this daemon deletes {@code page}. The daemons of a zone share the pages. */
  private boolean isCleanedLocally(ClaimPageId page) {
    ImmutableList<EntryVmId> order = RendezvousHash.order(page.toString(), table.zoneMembers());
    return !order.isEmpty() && order.get(0).equals(self.id());
  }

  private void startPolling() {
    Timing timing = settings.timing();
    ClaimPageCleaner.create(
            platform.store(),
            InstantSource.system(),
            ClaimLimits.defaults(),
            this::isCleanedLocally,
            claims.counters())
        .start(threads.decisionTimers());
    new VmListPoller(platform.vmList(), table, threads.decisions(), threads.decisionTimers())
        .start(timing.vmListPollInterval());
    HttpLoadSource source =
        HttpLoadSource.create(clients, threads.decisionTimers(), LOAD_READ_TIMEOUT);
    BackendPoller.create(
            table, source, threads.decisionTimers(), threads.decisions(), timing.loadPollInterval())
        .start();
  }

  Settings settings() {
    return settings;
  }

  Threads threads() {
    return threads;
  }

  LocalVm self() {
    return self;
  }

  MembershipTable table() {
    return table;
  }

  ConfigManager config() {
    return config;
  }

  WeightService weights() {
    return weights;
  }

  PeerNode peers() {
    return peers;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  RequestIdGenerator requestIds() {
    return requestIds;
  }

  RolloutService rollout() {
    return rollout;
  }

  CallRunner claimingRunner() {
    return ClaimingCallRunner.of(claims, dispatcher);
  }

  IdempotencyKeyIssuer keyIssuer() {
    return new ClaimKeyIssuer(claims, threads.decisions());
  }

  DaemonMetrics metrics() {
    return metrics;
  }

  FramedHttpClients clients() {
    return clients;
  }

  CallCounts platformCounts() {
    return platform.counts();
  }

  DispatcherGauges dispatcherGauges() {
    return dispatcherGauges;
  }

  ClaimService claims() {
    return claims;
  }

  DecisionRecordService decisionRecords() {
    return decisionRecords;
  }

  @Override
  public void close() {
    config.stop();
    threads.decisions().offer(weights::stopControllers);
    threads.decisions().offer(peers::close);
    threads.closeDuties();
    weights.close();
    transport.close();
    probe.close();
    platform.close();
    decisionRecords.close();
    threads.close();
  }
}
