package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.VmPhase;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerForwardingTest {
  private final TestMesh mesh = new TestMesh();
  private final TestNode near = mesh.start("vm-a", "zone-a");
  private final TestNode far = mesh.start("vm-b", "zone-b");
  private final RecordingListener listener = new RecordingListener();

  @AfterEach
  void close() {
    mesh.close();
  }

  private Work forward() {
    Work work = mesh.newWork(near);
    near.node.forwarder().forward(far.self.zone(), work, listener);
    return work;
  }

  private Work forwardAndAwaitArrival() {
    mesh.connect(near, far);
    int before = far.runner.submitted.size();
    Work work = forward();
    mesh.runUntil("arrival", () -> far.runner.submitted.size() > before);
    return work;
  }

  private Outcome outcome() {
    mesh.runUntil("outcome", () -> !listener.outcomes.isEmpty());
    return Iterables.getOnlyElement(listener.outcomes);
  }

  private ResultCode unknownCode() {
    return ((Outcome.OutcomeUnknown) outcome()).error().code();
  }

  @Nested
  class WithResponse {
    @Test
    void transfersWorkAndWholeResponse() {
      Work work = forwardAndAwaitArrival();
      Work arrived = far.runner.submitted.get(0);
      assertThat(arrived.id()).isEqualTo(work.id());
      assertThat(arrived.forwarded()).isTrue();
      assertThat(arrived.idempotent()).isFalse();
      assertThat(arrived.payload()).isEqualTo(work.payload());
      Chunk chunk =
          new Chunk(
              0,
              2,
              "two words",
              Optional.of(WeightVersion.of(7)),
              Optional.of(Incarnation.of("engine-1")));
      Outcome.Completed done =
          new Outcome.Completed(
              new CompletedResponse(
                  BackendServerId.of("engine"), HttpStatus.of(200), "text/plain", 2, "stop"));
      far.runner.listeners.get(work.id()).onChunk(chunk);
      far.runner.listeners.get(work.id()).onOutcome(done);
      assertThat(outcome()).isEqualTo(done);
      assertThat(listener.chunks).containsExactly(chunk);
    }

    @Test
    void passesOnNotRunOutcomeOfPeer() {
      Work work = forwardAndAwaitArrival();
      Outcome.NotRun notRun =
          new Outcome.NotRun(
              ErrorDetail.of(ResultCode.NOT_RUN_OVERLOADED, "queue is full"),
              Optional.of(Duration.ofMillis(400)));
      far.runner.listeners.get(work.id()).onOutcome(notRun);
      assertThat(outcome()).isEqualTo(notRun);
    }

    @Test
    void isNotRunByLeavingPeer() {
      mesh.connect(near, far);
      far.table.setPhase(VmPhase.LEAVING);
      forward();
      assertThat(((Outcome.NotRun) outcome()).error().code())
          .isEqualTo(ResultCode.NOT_RUN_SHUTTING_DOWN);
      assertThat(far.runner.submitted).isEmpty();
    }
  }

  @Nested
  class WithoutResponse {
    @Test
    void isNotRunWithoutLink() {
      forward();
      assertThat(((Outcome.NotRun) outcome()).error().code())
          .isEqualTo(ResultCode.NOT_RUN_ZONE_UNREACHABLE);
    }

    @Test
    void isUnknownIfLinkIsLostAfterSend() {
      forwardAndAwaitArrival();
      far.node.close();
      assertThat(unknownCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN_PEER_LOST);
    }

    @Test
    void isUnknownAfterDeadline() {
      final Work work = forwardAndAwaitArrival();
      for (int second = 0; second < 62; second++) {
        mesh.timers.advance(Duration.ofSeconds(1));
        mesh.runUntil("frame on the link from near to far", () -> lastFrameAgeMillis() == 0);
      }
      assertThat(unknownCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN_DEADLINE);
      mesh.runUntil("cancel", () -> far.runner.cancelled.contains(work.id()));
    }

    private long lastFrameAgeMillis() {
      return near.linkTo(far).flatMap(LinkView::answerAge).orElseThrow().toMillis();
    }
  }

  @Nested
  class Cancelled {
    @Test
    void isSentToPeer() {
      Work work = forwardAndAwaitArrival();
      near.node.forwarder().cancel(work.id());
      mesh.runUntil("cancel", () -> far.runner.cancelled.contains(work.id()));
      assertThat(listener.outcomes).isEmpty();
    }

    @Test
    void stopsWhenSenderCloses() {
      Work work = forwardAndAwaitArrival();
      near.node.close();
      mesh.runUntil("cancel", () -> far.runner.cancelled.contains(work.id()));
    }
  }
}
