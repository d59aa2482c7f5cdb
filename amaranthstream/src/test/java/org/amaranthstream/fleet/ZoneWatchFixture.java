package org.amaranthstream.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.MirrorListener;
import org.amaranthstream.platform.MirrorTiming;
import org.amaranthstream.platform.PrefixMirror;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.PausableTimerService;
import org.amaranthstream.time.VirtualTimerService;

/** Daemons of several zones that mirror a prefix of a simulated store, in virtual time. */
final class ZoneWatchFixture {
  static final String KEY = "settings/a";
  private static final String PREFIX = "settings/";
  private static final Duration DEFAULT_WATCH_WAIT = Duration.ofSeconds(3);
  private static final Duration DEFAULT_DEBOUNCE = Duration.ofMillis(50);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final Map<EntryVmId, Node> nodes = new LinkedHashMap<>();
  private final MirrorTiming timing;

  /** A daemon that mirrors the prefix. */
  final class Node implements MirrorListener {
    private final SimulatedStoreClient client = store.client();
    private final PausableTimerService clock = new PausableTimerService(timers);
    private final ZoneWatchStore watches = ZoneWatchStore.create(client, clock);
    private final FleetNode self;
    private final Fleet fleet;
    private final List<Long> seen = new ArrayList<>();
    private final RecordedFleetChanges changes = new RecordedFleetChanges();
    private boolean isCut;

    private Node(String vm, String zone) {
      this.self =
          new FleetNode(
              EntryVmId.of(vm),
              Incarnation.of("i-" + vm),
              "10.0.0.1",
              7000,
              AvailabilityZoneId.of(zone),
              RegionId.of("r"));
      this.fleet = Fleet.create(watches, clock);
      watches.attach(self, fleet, this::query);
      fleet.addListener(changes);
    }

    private void start() {
      fleet.start();
      FleetSession session =
          FleetSession.create(
              watches, clock, () -> Instant.ofEpochMilli(timers.nowNanos() / 1_000_000), self);
      fleet.addListener(session);
      session.start(() -> {});
      PrefixMirror.create(watches, clock, PREFIX, timing, this).start();
    }

    private CompletableFuture<Result<byte[]>> query(
        EntryVmId vm, QueryKind kind, byte[] watch, Duration timeout) {
      CompletableFuture<Result<byte[]>> reply = new CompletableFuture<>();
      Node peer = nodes.get(vm);
      if (peer == null) {
        reply.complete(Result.failure(ResultCode.PEER_UNREACHABLE, "not started"));
        return reply;
      }
      timers.after(
          timeout,
          () -> reply.complete(Result.failure(ResultCode.OUTCOME_UNKNOWN_DEADLINE, "no answer")));
      clock.after(
          Duration.ofMillis(1),
          () -> {
            if (!isCut && !peer.isCut) {
              peer.clock.after(
                  Duration.ofMillis(1),
                  () -> peer.watches.handle(kind, watch).thenAccept(r -> answer(peer, r, reply)));
            }
          });
      return reply;
    }

    private void answer(Node from, Result<byte[]> result, CompletableFuture<Result<byte[]>> reply) {
      if (!isCut && !from.isCut) {
        clock.after(Duration.ofMillis(1), () -> reply.complete(result));
      }
    }

    @Override
    public void onPut(KvEntry entry) {
      seen.add(Long.parseLong(new String(entry.value(), UTF_8)));
    }

    @Override
    public void onRemoved(String key) {}

    EntryVmId vm() {
      return self.vm();
    }

    /** Returns the values of the key in the order in which the daemon has applied them. */
    List<Long> seen() {
      return seen;
    }

    long latest() {
      return seen.isEmpty() ? 0 : seen.get(seen.size() - 1);
    }

    AvailabilityZoneId zone() {
      return self.zone();
    }

    boolean isRelay() {
      return WatchRelaySelection.relays(self.zone(), fleet.nodes()).contains(self.vm());
    }

    boolean isRoot() {
      return WatchRelaySelection.roots(fleet.nodes()).contains(self.vm());
    }

    /** Returns the changes of the registered daemons of which the daemon was notified. */
    RecordedFleetChanges changes() {
      return changes;
    }

    SimulatedStoreClient store() {
      return client;
    }

    /** Cuts the links to the other daemons. */
    void cutLinks(boolean isCut) {
      this.isCut = isCut;
    }

    void pause() {
      clock.pause();
    }

    void resume() {
      clock.resume();
    }
  }

  /** Starts {@code perZone} daemons in each of {@code zones} zones. */
  ZoneWatchFixture(int zones, int perZone) {
    this(zones, perZone, Duration.ZERO);
  }

  /** Starts {@code perZone} daemons in each of {@code zones} zones, spread over {@code spread}. */
  ZoneWatchFixture(int zones, int perZone, Duration spread) {
    this(zones, perZone, spread, DEFAULT_WATCH_WAIT);
  }

  /** Starts daemons whose watches of the store wait for {@code watchWait} at most. */
  ZoneWatchFixture(int zones, int perZone, Duration spread, Duration watchWait) {
    this(zones, perZone, spread, MirrorTiming.of(watchWait, DEFAULT_DEBOUNCE));
  }

  /** Starts daemons that mirror the prefix with the delays {@code timing}. */
  ZoneWatchFixture(int zones, int perZone, Duration spread, MirrorTiming timing) {
    this.timing = timing;
    int count = zones * perZone;
    for (int i = 0; i < count; i++) {
      Node node = new Node("vm-" + i, "zone-" + i % zones);
      nodes.put(node.vm(), node);
      timers.after(spread.multipliedBy(i).dividedBy(count), node::start);
    }
  }

  void run(Duration duration) {
    timers.advance(duration);
  }

  /** Writes a value that is greater than all before. */
  void write(long value) {
    store.put(KEY, Long.toString(value).getBytes(UTF_8));
  }

  SimulatedStore store() {
    return store;
  }

  ImmutableList<Node> nodes() {
    return ImmutableList.copyOf(nodes.values());
  }

  ImmutableList<Node> relays() {
    return nodes().stream().filter(Node::isRelay).collect(ImmutableList.toImmutableList());
  }

  /** Returns the daemons that watch the store for the relays of all zones. */
  ImmutableList<Node> roots() {
    return nodes().stream().filter(Node::isRoot).collect(ImmutableList.toImmutableList());
  }

  ImmutableList<Node> followers() {
    return nodes().stream()
        .filter(node -> !node.isRelay())
        .collect(ImmutableList.toImmutableList());
  }
}
