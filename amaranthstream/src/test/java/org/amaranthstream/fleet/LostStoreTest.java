package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.platform.GrantedLease;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.MirrorListener;
import org.amaranthstream.platform.MirrorTiming;
import org.amaranthstream.platform.PrefixMirror;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient;
import org.amaranthstream.platform.StoreMonitor;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes that a daemon applies late because it has lost the store silently, while a
 * peer reaches the store: right before the change its connections stop to deliver anything.
 */
class LostStoreTest {
  /** The time within which a change must be in force at a daemon that reaches the store. */
  private static final Duration MAX_DELAY = Duration.ofMillis(2_500);

  private static final String PREFIX = "servers/";
  private static final Duration WATCH_WAIT = Duration.ofMillis(1_500);

  /** The delays after changes of the operators, and after those of servers. */
  private static final List<Duration> DEBOUNCES =
      List.of(Duration.ofMillis(50), Duration.ofMillis(700));

  private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);
  private static final Duration LINK_DELAY = Duration.ofMillis(1);
  private static final Duration STEP = Duration.ofMillis(100);

  /** Spans a whole watch and several renewals. */
  private static final int PHASES = 27;

  /** Three daemons that mirror a prefix, each through the others if it has lost the store. */
  private static final class Daemons {
    private final VirtualTimerService timers = VirtualTimerService.create();
    private final SimulatedStore state = new SimulatedStore(timers);
    private final List<Daemon> all = new ArrayList<>();

    /** Starts the daemons one after another, {@code spread} apart. */
    private Daemons(Duration spread, Duration debounce) {
      for (int i = 0; i < 3; i++) {
        all.add(new Daemon(i, MirrorTiming.of(WATCH_WAIT, debounce)));
        timers.advance(spread);
      }
      timers.advance(Duration.ofSeconds(10));
    }

    private final class Daemon implements RelayingStore.PeerStoreClient, MirrorListener {
      private final int index;
      private final SimulatedStoreClient client = state.client();
      private final StoreMonitor monitor = StoreMonitor.create(timers);
      private final MonitoredStoreClient direct = new MonitoredStoreClient(client, monitor);
      private final RelayingStore store = RelayingStore.create(direct, monitor);
      private final StoreRelay relay = StoreRelay.create(direct, monitor::isUnavailable);
      private long changes;

      private Daemon(int index, MirrorTiming timing) {
        this.index = index;
        store.attach(this);
        PrefixMirror.create(store, timers, PREFIX, timing, this).start();
        client.grantLease(Duration.ofMinutes(10)).thenAccept(this::renewGranted);
      }

      private void renewGranted(Result<GrantedLease> result) {
        renew(((Result.Success<GrantedLease>) result).value().id());
      }

      private void renew(LeaseId lease) {
        store.renewLease(lease);
        timers.after(RENEWAL_INTERVAL, () -> renew(lease));
      }

      @Override
      public ImmutableList<EntryVmId> others() {
        return all.stream()
            .map(daemon -> daemon.index)
            .filter(other -> other != index)
            .map(other -> EntryVmId.of(Integer.toString(other)))
            .collect(ImmutableList.toImmutableList());
      }

      @Override
      public CompletableFuture<Result<byte[]>> call(EntryVmId vm, byte[] call, Duration timeout) {
        CompletableFuture<Result<byte[]>> reply = new CompletableFuture<>();
        Daemon peer = all.get(Integer.parseInt(vm.value()));
        timers.after(
            LINK_DELAY,
            () ->
                peer.relay
                    .handle(call)
                    .thenAccept(result -> timers.after(LINK_DELAY, () -> reply.complete(result))));
        timers.after(
            timeout,
            () -> reply.complete(Result.failure(ResultCode.OUTCOME_UNKNOWN_DEADLINE, "no answer")));
        return reply;
      }

      @Override
      public void onPut(KvEntry entry) {
        changes++;
      }

      @Override
      public void onRemoved(String key) {}
    }
  }

  private static void assertAllSeeChangeInTime(int lost) {
    for (Duration debounce : DEBOUNCES) {
      for (int spread = 0; spread < 3; spread++) {
        for (int phase = 0; phase < PHASES; phase++) {
          Daemons daemons = new Daemons(STEP.multipliedBy(4L * spread), debounce);
          loseStoreBeforeChange(daemons, lost, STEP.multipliedBy(phase));
          assertAllHaveSeen(daemons, "spread " + spread + ", phase " + phase);
        }
      }
    }
  }

  /** Loses the store at the first daemons, right before a change. */
  private static void loseStoreBeforeChange(Daemons daemons, int lost, Duration phase) {
    daemons.state.put(PREFIX + "a", new byte[0]);
    daemons.timers.advance(phase);
    daemons.all.subList(0, lost).forEach(daemon -> daemon.client.setSilent(true));
    daemons.state.put(PREFIX + "b", new byte[0]);
    daemons.timers.advance(MAX_DELAY);
  }

  private static void assertAllHaveSeen(Daemons daemons, String when) {
    for (Daemons.Daemon daemon : daemons.all) {
      assertWithMessage("daemon %s, %s", daemon.index, when).that(daemon.changes).isEqualTo(2);
    }
  }

  @Test
  void byOneDaemonDelaysItsChangesForShort() {
    assertAllSeeChangeInTime(1);
  }

  /** The first peer that they ask has lost the store too, and may not have noticed it. */
  @Test
  void byTwoOfThreeDaemonsDelaysTheirChangesForShort() {
    assertAllSeeChangeInTime(2);
  }
}
