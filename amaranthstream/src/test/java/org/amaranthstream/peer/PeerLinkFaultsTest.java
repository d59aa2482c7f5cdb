package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.membership.Reachability;
import org.amaranthstream.quarantine.Crash;
import org.amaranthstream.quarantine.Fingerprint;
import org.amaranthstream.quarantine.PoisonNotice;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerLinkFaultsTest {
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final PoisonNotice NOTICE =
      new PoisonNotice(
          new Fingerprint("0123456789abcdef0123456789abcdef"),
          ImmutableSet.of(new Crash(BackendServerId.of("server"), Optional.empty())),
          ImmutableSet.of(new Crash(BackendServerId.of("other"), Optional.empty())),
          Duration.ZERO);

  private final TestMesh mesh = new TestMesh();
  private TestNode near;
  private TestNode far;
  private TcpRelay relay;

  private void start(String nearZone, String farZone) {
    near = mesh.start("vm-a", nearZone);
    far = mesh.start("vm-b", farZone);
    relay = new TcpRelay(far.port);
    near.table.onVmList(List.of(near.entry(), far.entry(relay.port())), mesh.timers.nowNanos());
    far.table.onVmList(List.of(near.entry(), far.entry()), mesh.timers.nowNanos());
    mesh.tick();
    mesh.runUntil("links", () -> near.isLinkedTo(far) && far.isLinkedTo(near));
  }

  @AfterEach
  void close() {
    mesh.close();
    relay.close();
  }

  /**
   * Advances the clock second by second; waits for a frame on the link from far to near each time.
   */
  private void advanceWithOneLink(int seconds) {
    for (int i = 0; i < seconds; i++) {
      mesh.timers.advance(SECOND);
      mesh.runUntil("frame on the link from far to near", () -> hasReceivedNow(far, near));
    }
  }

  /** Advances the clock second by second; waits for a frame on both links each time. */
  private void advanceWithBothLinks(int seconds) {
    for (int i = 0; i < seconds; i++) {
      mesh.timers.advance(SECOND);
      mesh.runUntil(
          "frames on both links", () -> hasReceivedNow(far, near) && hasReceivedNow(near, far));
    }
  }

  private static boolean hasReceivedNow(TestNode from, TestNode to) {
    return from.linkTo(to).flatMap(LinkView::answerAge).map(Duration::isZero).orElse(false);
  }

  @Nested
  class WithinTheZone {
    @BeforeEach
    void startInOneZone() {
      start("zone-a", "zone-a");
    }

    @Test
    void heartbeatsMakePeersReachableBothWays() {
      advanceWithBothLinks(3);
      mesh.runUntil(
          "reachability in both directions", () -> takesWork(near, far) && takesWork(far, near));
      assertThat(far.receivedGenerations).contains(ConfigGeneration.of(1));
    }

    private boolean takesWork(TestNode of, TestNode to) {
      return of.table.entryVm(to.self.id()).orElseThrow().takesWork();
    }

    /** No time passes, so that neither side sends a periodic heartbeat. */
    @Test
    void readyLinkCarriesWhatThePeerDoesNotKnowYet() {
      mesh.runUntil("generation", () -> far.receivedGenerations.contains(ConfigGeneration.of(1)));
    }

    @Test
    void announcementCarriesNoticesBeforeTheNextHeartbeat() {
      near.notices.add(NOTICE);
      near.node.announce();
      mesh.runUntil("notice", () -> far.receivedNotices.contains(NOTICE));
    }

    @Test
    void silentConnectionIsReplaced() {
      advanceWithBothLinks(2);
      relay.dropTraffic();
      int before = relay.accepted();
      // No frame is processed while the clock advances by 3 s, and it does not advance afterwards.
      mesh.timers.advance(SECOND.multipliedBy(3));
      mesh.runUntil("new connection", () -> near.isLinkedTo(far));
      assertThat(relay.accepted()).isGreaterThan(before);
      assertThat(near.linkTo(far).orElseThrow().lastLoss()).contains("no frame received for");
    }

    @Test
    void oneWayFailureIsDetectedByBothSides() {
      advanceWithBothLinks(2);
      mesh.runUntil(
          "reachability in both directions", () -> takesWork(near, far) && takesWork(far, near));
      near.table.onVmList(List.of(near.entry(), far.entry(1)), mesh.timers.nowNanos());
      advanceWithOneLink(8);
      assertThat(far.table.entryVm(near.self.id()).orElseThrow().reachability())
          .isEqualTo(Reachability.UNREACHABLE);
      assertThat(near.table.entryVm(far.self.id()).orElseThrow().reachability())
          .isEqualTo(Reachability.REACHABLE);
      assertThat(takesWork(near, far)).isFalse();
    }
  }

  @Nested
  class AcrossZones {
    @BeforeEach
    void startInTwoZones() {
      start("zone-a", "zone-b");
    }

    private RecordingListener forward(int promptChars) {
      Work work =
          Work.builder()
              .id(RequestId.of(near.self.id(), near.self.incarnation(), promptChars))
              .workClass(WorkClassId.of("lookup"))
              .pool(PoolId.of("coding"))
              .priority(Priority.TRAINING)
              .payload(new Payload.Generate("x".repeat(promptChars), 16, 7))
              .deadlineNanos(mesh.timers.nowNanos() + Duration.ofMinutes(1).toNanos())
              .build();
      RecordingListener listener = new RecordingListener();
      near.node.forwarder().forward(far.self.zone(), work, listener);
      return listener;
    }

    @Test
    void workOnSilentConnectionHasUnknownOutcome() {
      final RecordingListener listener = forward(10);
      mesh.runUntil("arrival", () -> !far.runner.submitted.isEmpty());
      relay.dropTraffic();
      for (int i = 0; i < 4; i++) {
        mesh.timers.advance(SECOND);
      }
      assertThat(((Outcome.OutcomeUnknown) listener.outcomes.get(0)).error().code())
          .isEqualTo(ResultCode.OUTCOME_UNKNOWN_PEER_LOST);
    }

    @Test
    void waitingBytesForPeerThatDoesNotReadAreBounded() {
      relay.stopReadingFromClients();
      RecordingListener rejected = null;
      for (int i = 0; i < 100 && rejected == null; i++) {
        RecordingListener listener = forward(200_000 + i);
        rejected = listener.outcomes.isEmpty() ? null : listener;
      }
      assertThat(rejected).isNotNull();
      assertThat(((Outcome.NotRun) rejected.outcomes.get(0)).error().code())
          .isEqualTo(ResultCode.NOT_RUN_QUEUE_FULL);
      assertThat(near.node.snapshot().waitingBytes()).isAtMost(2 << 20);
    }

    @Test
    void workLargerThanFrameIsNotRun() {
      RecordingListener listener = forward(2 << 20);
      assertThat(listener.outcomes.get(0)).isInstanceOf(Outcome.NotRun.class);
    }
  }
}
