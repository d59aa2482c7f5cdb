package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.amaranthstream.fleet.wire.StoreAnswer;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.GrantedLease;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.KvPage;
import org.amaranthstream.platform.RenewalReply;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.platform.StoreMonitor;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.WatchReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayingStoreTest {
  private static final EntryVmId PEER = EntryVmId.of("peer");

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore state = new SimulatedStore(timers);
  private final SimulatedStoreClient direct = state.client();
  private final SimulatedStoreClient peers = state.client();
  private final StoreMonitor monitor = StoreMonitor.create(timers);
  private boolean isPeerStoreUnavailable;
  private final StoreRelay relay = StoreRelay.create(peers, () -> isPeerStoreUnavailable);
  private final RelayingStore store = RelayingStore.create(direct, monitor);
  private boolean isPeerLinkLost;
  private int relayed;
  private final List<EntryVmId> asked = new ArrayList<>();
  private ImmutableList<EntryVmId> others = ImmutableList.of(PEER);

  @BeforeEach
  void attach() {
    store.attach(
        new RelayingStore.PeerStoreClient() {
          @Override
          public ImmutableList<EntryVmId> others() {
            return others;
          }

          @Override
          public CompletableFuture<Result<byte[]>> call(
              EntryVmId vm, byte[] call, Duration timeout) {
            relayed++;
            asked.add(vm);
            return isPeerLinkLost
                ? CompletableFuture.completedFuture(
                    Result.failure(ResultCode.OUTCOME_UNKNOWN_PEER_LOST, "lost"))
                : relay.handle(call);
          }
        });
  }

  private <T> T await(CompletableFuture<T> reply) {
    timers.advance(Duration.ofSeconds(10));
    return reply.join();
  }

  private static Transaction create(String key) {
    return Transaction.builder().expectAbsent(key).put(key, "v".getBytes(UTF_8)).build();
  }

  /** A third of the daemons are rejected by the store, so the first peers may all be among them. */
  @Nested
  class ManyPeers {
    @Test
    void areTriedInTurnUntilOneReachesTheStore() {
      others =
          IntStream.range(0, 9)
              .mapToObj(i -> EntryVmId.of("vm-" + i))
              .collect(ImmutableList.toImmutableList());
      direct.setRefused(true);
      isPeerStoreUnavailable = true;
      for (int i = 0; i < 3; i++) {
        await(store.transact(create("a")));
      }

      assertThat(asked).containsAtLeastElementsIn(others);
    }
  }

  @Nested
  class StoreReachable {
    @Test
    void doesNotUsePeers() {
      assertThat(await(store.transact(create("a")))).isInstanceOf(TransactionReply.Committed.class);
      assertThat(relayed).isEqualTo(0);
    }

    @Test
    void conflictIsNotRelayed() {
      state.put("a", new byte[0]);

      assertThat(await(store.transact(create("a")))).isInstanceOf(TransactionReply.Conflict.class);
      assertThat(relayed).isEqualTo(0);
    }
  }

  @Nested
  class StoreRejectsThisDaemon {
    @BeforeEach
    void rejectCalls() {
      direct.setRefused(true);
    }

    @Test
    void relaysTransactions() {
      assertThat(await(store.transact(create("a")))).isInstanceOf(TransactionReply.Committed.class);
    }

    @Test
    void relaysReads() {
      state.put("a/1", "one".getBytes(UTF_8));

      Result<KvPage> page = await(store.range("a/", ""));
      Result<Optional<KvEntry>> entry = await(store.get("a/1"));

      assertThat(((Result.Success<KvPage>) page).value().entries()).hasSize(1);
      assertThat(((Result.Success<Optional<KvEntry>>) entry).value()).isPresent();
    }

    @Test
    void relaysLeaseCalls() {
      GrantedLease lease =
          ((Result.Success<GrantedLease>) await(store.grantLease(Duration.ofMinutes(1)))).value();

      assertThat(await(store.renewLease(lease.id()))).isInstanceOf(RenewalReply.Renewed.class);
    }

    @Test
    void reportsNotDoneIfThePeerCannotReachTheStore() {
      isPeerStoreUnavailable = true;

      assertThat(await(store.transact(create("a")))).isInstanceOf(TransactionReply.NotDone.class);
    }

    @Test
    void reportsUnknownIfThePeerLinkIsLost() {
      isPeerLinkLost = true;

      assertThat(await(store.transact(create("a")))).isInstanceOf(TransactionReply.Unknown.class);
    }
  }

  @Nested
  class StoreUnresponsive {
    @Test
    void doesNotRelayTransactionThatMayTakeEffect() {
      direct.setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(3));

      assertThat(await(store.transact(create("a")))).isInstanceOf(TransactionReply.Unknown.class);
      assertThat(relayed).isEqualTo(0);
    }

    @Test
    void failsOpenWatchesWhenAnOutageBegins() {
      CompletableFuture<WatchReply> watch =
          store.watch("a/", Revision.of(10), Duration.ofSeconds(20));
      timers.advance(Duration.ofSeconds(1));
      monitor.onFailed("no answer");

      assertThat(watch.join()).isInstanceOf(WatchReply.Failed.class);
    }

    @Test
    void relaysWatches() {
      direct.setSilent(true);
      monitor.onFailed("no answer");
      CompletableFuture<WatchReply> watch =
          store.watch("a/", Revision.of(10), Duration.ofSeconds(20));
      state.put("a/1", "one".getBytes(UTF_8));
      timers.advance(Duration.ofMillis(100));

      assertThat(((WatchReply.Changes) watch.join()).changes()).hasSize(1);
    }
  }

  /**
   * Guards against daemons that never try the store directly again: each considers it unavailable
   * and none holds a lease, so no renewal would detect that the store has recovered.
   */
  @Nested
  class AfterAnOutageOfAllDaemons {
    @BeforeEach
    void reportFailure() {
      monitor.onFailed("HTTP 503");
      isPeerStoreUnavailable = true;
    }

    @Test
    void triesDirectlyIfNoPeerReachesTheStore() {
      assertThat(await(store.transact(create("a")))).isInstanceOf(TransactionReply.Committed.class);
      assertThat(await(store.grantLease(Duration.ofMinutes(1)))).isInstanceOf(Result.Success.class);
      assertThat(await(store.range("a", ""))).isInstanceOf(Result.Success.class);
      assertThat(await(store.watch("a", Revision.of(10), Duration.ofSeconds(1))))
          .isInstanceOf(WatchReply.Changes.class);
    }
  }

  @Nested
  class PeerResponses {
    @Test
    void rejectsEmptyCall() {
      Result<byte[]> response = relay.handle(new byte[0]).join();

      assertThat(parse(response).hasNotDone()).isTrue();
    }

    private StoreAnswer parse(Result<byte[]> response) {
      try {
        return StoreAnswer.parseFrom(((Result.Success<byte[]>) response).value());
      } catch (com.google.protobuf.InvalidProtocolBufferException e) {
        throw new AssertionError(e);
      }
    }
  }
}
