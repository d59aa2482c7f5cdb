package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.AbsenceCondition;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.fleet.FleetSession;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.platform.TransactionRunner;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The condition of a takeover, for a daemon whose view of the fleet is empty and stays so. */
class TakeoverTest {
  private static final JobId JOB = JobId.of("job");
  private static final FleetNode FORMER = node("vm-1", "i1");
  private static final FleetNode RESTARTED = node("vm-1", "i2");
  private static final FleetNode SELF = node("vm-2", "i3");
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore kv = new SimulatedStore(timers);
  private final SimulatedStoreClient client = kv.client();
  private final JobStore store = new JobStore(client, TransactionRunner.create(client, timers));
  private final Fleet emptyView = Fleet.create(client, timers);

  private static FleetNode node(String vm, String incarnation) {
    return new FleetNode(
        EntryVmId.of(vm),
        Incarnation.of(incarnation),
        "10.0.0.1",
        7000,
        AvailabilityZoneId.of("a"),
        RegionId.of("r"));
  }

  private static JobOwner recordOf(FleetNode owner) {
    return new JobOwner(owner.vm(), owner.incarnation(), 1, false, 0, 1, 1, 7);
  }

  @BeforeEach
  void createJob() {
    store.create(JOB, RecordParts.of(new byte[] {1}).orElseThrow(), recordOf(FORMER), TIMEOUT);
    timers.advance(TIMEOUT);
  }

  private StoredOwner stored() {
    return kv.entry(JobKeys.owner(JOB)).flatMap(JobStore::storedOwner).get();
  }

  private void register(FleetNode node) {
    FleetSession.create(kv.client(), timers, () -> Instant.EPOCH, node).start(() -> {});
    timers.advance(Duration.ofMillis(100));
  }

  private CompletableFuture<TakeoverReply> takeOver() {
    return new Takeover(store, timers, SELF, 8)
        .run(stored(), Optional.of(emptyView.absenceOf(FORMER.vm(), FORMER.incarnation())));
  }

  private TakeoverReply await(CompletableFuture<TakeoverReply> reply) {
    for (int i = 0; i < 200 && !reply.isDone(); i++) {
      timers.advance(Duration.ofMillis(50));
    }
    return reply.join();
  }

  private void assertTaken(TakeoverReply reply) {
    assertThat(reply).isEqualTo(new TakeoverReply.Taken(stored()));
    assertThat(stored().owner().isHeldBy(SELF.vm(), SELF.incarnation())).isTrue();
  }

  @Nested
  class Succeeds {
    @Test
    void whileTheVmHasNoRegistration() {
      assertTaken(await(takeOver()));
    }

    @Test
    void afterTheVmHasRestarted() {
      register(RESTARTED);
      assertTaken(await(takeOver()));
    }

    @Test
    void ifTheAnswerIsLost() {
      client.setWriteFault(WriteFault.ANSWER_LOST, Duration.ZERO);
      CompletableFuture<TakeoverReply> reply = takeOver();
      client.setWriteFault(WriteFault.NONE, Duration.ZERO);

      assertTaken(await(reply));
    }

    /** A peer may end the job while its takeover is open; the new owner must learn of that. */
    @Test
    void withTheEndThatPeerHasStored() {
      client.setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(6));
      final CompletableFuture<TakeoverReply> reply = takeOver();
      StoredOwner before = stored();
      new JobStore(kv.client(), TransactionRunner.create(kv.client(), timers))
          .endWithNotice(before, before.owner().ended(9), TIMEOUT);
      timers.advance(Duration.ofMillis(500));
      client.setWriteFault(WriteFault.NONE, Duration.ZERO);

      assertTaken(await(reply));
      assertThat(stored().owner().isEnded()).isTrue();
    }
  }

  @Nested
  class Fails {
    /** The failed write is not repeated until its timeout: the owner is back. */
    @Test
    void atOnceIfTheOwnerIsRegistered() {
      register(FORMER);
      int before = kv.calls();
      CompletableFuture<TakeoverReply> reply = takeOver();
      timers.advance(Duration.ofMillis(100));

      assertThat(reply.join()).isEqualTo(new TakeoverReply.OwnerRegistered(stored()));
      assertThat(kv.calls() - before).isEqualTo(1);
      assertThat(stored().owner()).isEqualTo(recordOf(FORMER));
    }

    @Test
    void ifTheOwnerComesBackBeforeTheRepetition() {
      client.setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(6));
      final CompletableFuture<TakeoverReply> reply = takeOver();
      register(FORMER);
      timers.advance(Duration.ofMillis(500));
      client.setWriteFault(WriteFault.NONE, Duration.ZERO);

      assertThat(await(reply)).isInstanceOf(TakeoverReply.OwnerRegistered.class);
      timers.advance(Duration.ofSeconds(6));
      assertThat(stored().owner()).isEqualTo(recordOf(FORMER));
    }

    @Test
    void ifAnotherDaemonIsFaster() {
      StoredOwner before = stored();
      await(new Takeover(store, timers, RESTARTED, 9).run(before, Optional.empty()));
      AbsenceCondition absence = emptyView.absenceOf(FORMER.vm(), FORMER.incarnation());

      assertThat(await(new Takeover(store, timers, SELF, 8).run(before, Optional.of(absence))))
          .isEqualTo(new TakeoverReply.Lost(ImmutableList.of(stored())));
    }
  }
}
