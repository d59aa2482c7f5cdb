package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.MembershipSettings;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmKind;
import org.amaranthstream.quarantine.PoisonNotice;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.VirtualTimerService;

/** Entry VM on loopback, with fakes for its heartbeat content and its runner. */
final class TestNode implements HeartbeatSource, HeartbeatSink {
  final LocalVm self;
  final MembershipTable table;
  final PeerNode node;
  final RecordingRunner runner = new RecordingRunner();
  final List<ConfigGeneration> receivedGenerations = new ArrayList<>();
  final List<PoisonNotice> notices = new ArrayList<>();
  final List<ReceivedExchange> exchanges = new ArrayList<>();
  int cancelledExchanges;
  final List<PoisonNotice> receivedNotices = new ArrayList<>();
  long generation = 1;
  int port;

  /** Exchange that a peer has started. */
  record ReceivedExchange(String request, Duration timeLeft, ExchangeResponder responder) {}

  private TestNode(
      LocalVm self, PeerLinkSettings settings, VirtualTimerService timers, ManualDuty duty) {
    this.self = self;
    this.table =
        MembershipTable.create(
            self, MembershipSettings.builder().build(), List.of(), timers.nowNanos());
    this.node =
        PeerNode.builder()
            .self(self)
            .settings(settings)
            .table(table)
            .timers(timers)
            .decisions(duty)
            .source(this)
            .sink(this)
            .exchangeHandler(this::onExchange)
            .build();
  }

  private Runnable onExchange(
      LocalVm from, byte[] request, Duration timeLeft, ExchangeResponder responder) {
    String text = new String(request, StandardCharsets.UTF_8);
    exchanges.add(new ReceivedExchange(text, timeLeft, responder));
    return () -> cancelledExchanges++;
  }

  /** Starts an entry VM. Each zone is the only one of its region. */
  static TestNode start(
      String name,
      String zone,
      PeerLinkSettings settings,
      VirtualTimerService timers,
      ManualDuty duty) {
    LocalVm self =
        new LocalVm(
            EntryVmId.of(name),
            Incarnation.of(name + "-run-1"),
            RegionId.of("region-" + zone),
            AvailabilityZoneId.of(zone));
    TestNode node = new TestNode(self, settings, timers, duty);
    Result<Integer> port = node.node.start(node.runner);
    node.port = ((Result.Success<Integer>) port).value();
    return node;
  }

  VmEntry entry() {
    return entry(port);
  }

  VmEntry entry(int advertisedPort) {
    return new VmEntry(
        self.id().value(),
        VmKind.ENTRY,
        self.region(),
        self.zone(),
        "127.0.0.1",
        advertisedPort,
        Optional.empty(),
        false);
  }

  boolean isLinkedTo(TestNode other) {
    return node.snapshot().outbound().stream()
        .anyMatch(link -> link.vm().equals(other.self.id()) && link.phase() == LinkPhase.READY);
  }

  boolean hasInboundLinkFrom(String vm) {
    return node.snapshot().inbound().stream().anyMatch(link -> link.vm().value().equals(vm));
  }

  Optional<LinkView> linkTo(TestNode other) {
    return node.snapshot().outbound().stream()
        .filter(link -> link.vm().equals(other.self.id()))
        .findFirst();
  }

  @Override
  public ConfigGeneration configGeneration() {
    return ConfigGeneration.of(generation);
  }

  @Override
  public ImmutableMap<ModelId, WeightVersion> weightVersions() {
    return ImmutableMap.of();
  }

  @Override
  public ImmutableList<PoisonNotice> poisonNotices() {
    return ImmutableList.copyOf(notices);
  }

  @Override
  public ImmutableMap<PoolId, Integer> waitingRequests() {
    return ImmutableMap.of();
  }

  @Override
  public void onConfigGeneration(EntryVmId from, ConfigGeneration generation) {
    receivedGenerations.add(generation);
  }

  @Override
  public void onWeightVersion(ModelId model, WeightVersion version) {}

  @Override
  public void onPoisonNotice(PoisonNotice notice) {
    receivedNotices.add(notice);
  }
}
