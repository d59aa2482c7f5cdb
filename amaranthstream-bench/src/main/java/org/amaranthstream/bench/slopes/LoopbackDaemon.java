package org.amaranthstream.bench.slopes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
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
import org.amaranthstream.quarantine.PoisonNotice;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.DutyThread;
import org.amaranthstream.time.SystemTimerService;
import org.amaranthstream.time.TimerService;

/**
 * The membership and peer links of one daemon on loopback. Load reports are generated instead of
 * polled.
 */
final class LoopbackDaemon implements AutoCloseable, HeartbeatSource, HeartbeatSink, WorkRunner {
  private static final int TASK_QUEUE_SIZE = 4096;
  private static final Duration INTERVAL = Duration.ofSeconds(1);
  private static final byte[] SHARED_KEY =
      "loopback key of the measurement.".getBytes(StandardCharsets.UTF_8);

  private final LocalVm self;
  private final DutyThread decisions;
  private final MembershipTable table;
  private final PeerNode node;
  private final int port;
  private final TimerService timers;

  private LoopbackDaemon(String name, String zone, SystemTimerService timerService) {
    this.self =
        new LocalVm(
            EntryVmId.of(name),
            Incarnation.of(name + "-2f7c9e11"),
            RegionId.of("region-" + zone),
            AvailabilityZoneId.of(zone));
    this.decisions = DutyThread.start("decisions-" + name, TASK_QUEUE_SIZE);
    this.timers = timerService.forDuty(decisions);
    this.table =
        MembershipTable.create(
            self, MembershipSettings.builder().build(), List.of(), timers.nowNanos());
    this.node =
        PeerNode.builder()
            .self(self)
            .settings(
                PeerLinkSettings.builder()
                    .heartbeatInterval(INTERVAL)
                    .credentials(PeerCredentials.SharedKey.of(SHARED_KEY))
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

  static LoopbackDaemon start(String name, String zone, SystemTimerService timerService) {
    return new LoopbackDaemon(name, zone, timerService);
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

  /** Applies the VM list and starts to generate load reports. */
  void join(List<VmEntry> entries) {
    call(
        () -> {
          table.onVmList(entries, timers.nowNanos());
          return BackendPoller.create(table, this::generateLoadReport, timers, decisions, INTERVAL)
              .start();
        });
  }

  private CompletableFuture<Result<LoadReport>> generateLoadReport(BackendServer server) {
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

  int expectedLinks() {
    return call(() -> table.linkTargets().size());
  }

  long sentBytes(Locality locality) {
    return node.bytes().sent(locality);
  }

  private <T> T call(Callable<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    boolean accepted =
        decisions.offer(
            () -> {
              try {
                result.complete(task.call());
              } catch (Exception e) {
                result.completeExceptionally(e);
              }
            });
    if (!accepted) {
      throw new IllegalStateException("the task queue of the decision thread is full");
    }
    return result.join();
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
    throw new IllegalStateException("this daemon accepts no forwarded work");
  }

  @Override
  public void cancel(RequestId id) {}
}
