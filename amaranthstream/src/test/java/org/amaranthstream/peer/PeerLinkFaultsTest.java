package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.membership.Reachability;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerLinkFaultsTest {
  private static final Duration SECOND = Duration.ofSeconds(1);

  private final TestMesh mesh = new TestMesh();
  private TestNode near;
  private TestNode far;
  private Relay relay;

  private void start(String nearZone, String farZone) {
    near = mesh.start("vm-a", nearZone);
    far = mesh.start("vm-b", farZone);
    relay = new Relay(far.port);
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

  /** Lets {@code seconds} pass; the link from far to near, which always works, keeps up. */
  private void beat(int seconds) {
    for (int i = 0; i < seconds; i++) {
      mesh.timers.advance(SECOND);
      mesh.runUntil("answer to a heartbeat", () -> isAnswered(far, near));
    }
  }

  /** Lets {@code seconds} pass; both links keep up. */
  private void beatBothWays(int seconds) {
    for (int i = 0; i < seconds; i++) {
      mesh.timers.advance(SECOND);
      mesh.runUntil("answers", () -> isAnswered(far, near) && isAnswered(near, far));
    }
  }

  private static boolean isAnswered(TestNode from, TestNode to) {
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
      beatBothWays(3);
      mesh.runUntil("two-way", () -> takesWork(near, far) && takesWork(far, near));
      assertThat(far.generations).contains(ConfigGeneration.of(1));
    }

    private boolean takesWork(TestNode of, TestNode to) {
      return of.table.entryVm(to.self.id()).orElseThrow().takesWork();
    }

    @Test
    void silentConnectionIsReplacedByFreshOne() {
      beatBothWays(2);
      relay.swallow();
      int before = relay.accepted();
      // No frame is taken while the last answer becomes 3 s old, and no time passes afterwards.
      mesh.timers.advance(SECOND.multipliedBy(3));
      mesh.runUntil("fresh connection", () -> near.isLinkedTo(far));
      assertThat(relay.accepted()).isGreaterThan(before);
      assertThat(near.linkTo(far).orElseThrow().lastLoss()).contains("no frame received for");
    }

    @Test
    void oneWayCutIsSeenByBothSides() {
      beatBothWays(2);
      mesh.runUntil("two-way", () -> takesWork(near, far) && takesWork(far, near));
      near.table.onVmList(List.of(near.entry(), far.entry(1)), mesh.timers.nowNanos());
      beat(8);
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

    private TestListener forward(int promptChars) {
      Work work =
          Work.builder()
              .id(RequestId.of(near.self.id(), near.self.incarnation(), promptChars))
              .workClass(WorkClassId.of("lookup"))
              .pool(PoolId.of("coding"))
              .priority(Priority.TRAINING)
              .payload(new Payload.Generate("x".repeat(promptChars), 16, 7))
              .deadlineNanos(mesh.timers.nowNanos() + Duration.ofMinutes(1).toNanos())
              .build();
      TestListener listener = new TestListener();
      near.node.forwarder().forward(far.self.zone(), work, listener);
      return listener;
    }

    @Test
    void workOnSilentConnectionEndsUnknown() {
      final TestListener listener = forward(10);
      mesh.runUntil("arrival", () -> !far.runner.submitted.isEmpty());
      relay.swallow();
      for (int i = 0; i < 4; i++) {
        mesh.timers.advance(SECOND);
      }
      assertThat(((Outcome.OutcomeUnknown) listener.outcomes.get(0)).error().code())
          .isEqualTo(ResultCode.OUTCOME_UNKNOWN_PEER_LOST);
    }

    @Test
    void peerThatReadsNothingGetsNoMoreThanTheBound() {
      relay.holdFromClient();
      TestListener refused = null;
      for (int i = 0; i < 100 && refused == null; i++) {
        TestListener listener = forward(200_000 + i);
        refused = listener.outcomes.isEmpty() ? null : listener;
      }
      assertThat(refused).isNotNull();
      assertThat(((Outcome.NotRun) refused.outcomes.get(0)).error().code())
          .isEqualTo(ResultCode.NOT_RUN_QUEUE_FULL);
      assertThat(near.node.snapshot().waitingBytes()).isAtMost(2 << 20);
    }

    @Test
    void workLargerThanFrameIsNotRun() {
      TestListener listener = forward(2 << 20);
      assertThat(listener.outcomes.get(0)).isInstanceOf(Outcome.NotRun.class);
    }
  }
}
