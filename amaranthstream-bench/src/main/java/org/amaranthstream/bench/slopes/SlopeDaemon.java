package org.amaranthstream.bench.slopes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.dispatch.PoisonNotice;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendPoller;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.MembershipSettings;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.peer.HeartbeatSink;
import org.amaranthstream.peer.HeartbeatSource;
import org.amaranthstream.peer.LinkPhase;
import org.amaranthstream.peer.PeerCredentials;
import org.amaranthstream.peer.PeerLinkSettings;
import org.amaranthstream.peer.PeerNode;
import org.amaranthstream.placement.Locality;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.DutyThread;
import org.amaranthstream.time.SystemTimerService;
import org.amaranthstream.time.TimerService;

/**
 * The membership and peer parts of one daemon on loopback; load reports are made up, not polled.
 */
final class SlopeDaemon implements AutoCloseable, HeartbeatSource, HeartbeatSink, WorkRunner {
  private static final int RING_SIZE = 4096;
  private static final Duration PERIOD = Duration.ofSeconds(1);
  private static final byte[] KEY =
      "loopback key of the measurement.".getBytes(StandardCharsets.UTF_8);

  private final LocalVm self;
  private final DutyThread decisions;
  private final MembershipTable table;
  private final PeerNode node;
  private final int port;
  private final TimerService timers;

  private SlopeDaemon(String name, String zone, SystemTimerService clock) {
    this.self =
        new LocalVm(
            EntryVmId.of(name),
            Incarnation.of(name + "-2f7c9e11"),
            RegionId.of("region-" + zone),
            AvailabilityZoneId.of(zone));
    this.decisions = DutyThread.start("decisions-" + name, RING_SIZE);
    this.timers = clock.forDuty(decisions);
    this.table =
        MembershipTable.create(
            self, MembershipSettings.builder().build(), List.of(), timers.nowNanos());
    this.node =
        PeerNode.builder()
            .self(self)
            .settings(
                PeerLinkSettings.builder()
                    .heartbeatInterval(PERIOD)
                    .credentials(PeerCredentials.SharedKey.of(KEY))
                    .build())
            .table(table)
            .timers(timers)
            .decisions(decisions)
            .source(this)
            .sink(this)
            .build();
    Result<Integer> started = node.start(this);
    if (!(started instanceof Result.Success<Integer> success)) {
      throw new IllegalStateException(started.toString());
    }
    this.port = success.value();
  }

  static SlopeDaemon start(String name, String zone, SystemTimerService clock) {
    return new SlopeDaemon(name, zone, clock);
  }

  VmEntry entry() {
    return new VmEntry(
        self.id().value(),
        VmKind.ENTRY,
        self.region(),
        self.zone(),
        "127.0.0.1",
        port,
        Optional.empty(),
        false);
  }

  /** Gives the daemon its list and starts to make up load reports. */
  void join(List<VmEntry> entries) {
    call(
        () -> {
          table.onVmList(entries, timers.nowNanos());
          return BackendPoller.create(table, this::load, timers, decisions, PERIOD).start();
        });
  }

  private CompletableFuture<Result<LoadReport>> load(BackendServer server) {
    return CompletableFuture.completedFuture(
        Result.success(
            new LoadReport(
                Incarnation.of(server.id() + "-5b1d03aa"),
                Optional.of(WeightVersion.of(1234)),
                6,
                3,
                8,
                false,
                timers.nowNanos())));
  }

  int readyLinks() {
    return call(
        () ->
            (int)
                node.snapshot().outbound().stream()
                    .filter(link -> link.phase() == LinkPhase.READY)
                    .count());
  }

  int wantedLinks() {
    return call(() -> table.linkTargets().size());
  }

  long sentBytes(Locality locality) {
    return node.bytes().sent(locality);
  }

  private <T> T call(Callable<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    boolean taken =
        decisions.offer(
            () -> {
              try {
                answer.complete(question.call());
              } catch (Exception e) {
                answer.completeExceptionally(e);
              }
            });
    if (!taken) {
      throw new IllegalStateException("the decision ring is full");
    }
    return answer.join();
  }

  @Override
  public void close() {
    call(
        () -> {
          node.close();
          return true;
        });
    decisions.close();
  }

  @Override
  public ConfigGeneration configGeneration() {
    return ConfigGeneration.of(720);
  }

  @Override
  public ImmutableMap<ModelId, WeightVersion> weightVersions() {
    return ImmutableMap.of(ModelId.of("coding"), WeightVersion.of(1234));
  }

  @Override
  public ImmutableList<PoisonNotice> poisonNotices() {
    return ImmutableList.of();
  }

  @Override
  public ImmutableMap<PoolId, Integer> waitingRequests() {
    return ImmutableMap.of(PoolId.of("coding"), 5);
  }

  @Override
  public void onConfigGeneration(EntryVmId from, ConfigGeneration generation) {}

  @Override
  public void onWeightVersion(ModelId model, WeightVersion version) {}

  @Override
  public void onPoisonNotice(PoisonNotice notice) {}

  @Override
  public void submit(Work work, WorkListener listener) {
    throw new IllegalStateException("no work is forwarded here");
  }

  @Override
  public void cancel(RequestId id) {}
}
