package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerExchangesTest {
  private static final Duration TIME_LEFT = Duration.ofSeconds(2);

  private final TestMesh mesh = new TestMesh();
  private final TestNode near = mesh.start("vm-a", "zone-a");
  private final TestNode far = mesh.start("vm-b", "zone-b");
  private final List<String> events = new ArrayList<>();

  @AfterEach
  void close() {
    mesh.close();
  }

  private final ExchangeListener listener =
      new ExchangeListener() {
        @Override
        public void onPart(byte[] part) {
          events.add("part " + new String(part, UTF_8));
        }

        @Override
        public void onEnd() {
          events.add("end");
        }

        @Override
        public void onNotRun(Outcome.NotRun outcome) {
          events.add("not run " + outcome.error().code());
        }

        @Override
        public void onOutcomeUnknown(Outcome.OutcomeUnknown outcome) {
          events.add("unknown " + outcome.error().code());
        }
      };

  private PeerExchange start() {
    return near.node
        .exchanges()
        .start(far.self.id(), "request".getBytes(UTF_8), TIME_LEFT, listener);
  }

  private void startAndAwaitArrival() {
    mesh.connect(near, far);
    start();
    mesh.runUntil("arrival", () -> !far.exchanges.isEmpty());
  }

  private void awaitEvents(int count) {
    mesh.runUntil("events", () -> events.size() >= count);
  }

  @Test
  void transfersRequestAndPartsOfTheResponse() {
    startAndAwaitArrival();
    TestNode.ReceivedExchange received = far.exchanges.get(0);
    received.responder().sendPart("one".getBytes(UTF_8));
    received.responder().sendPart("two".getBytes(UTF_8));
    received.responder().end();
    awaitEvents(3);

    assertThat(received.request()).isEqualTo("request");
    assertThat(received.timeLeft()).isAtMost(TIME_LEFT);
    assertThat(events).containsExactly("part one", "part two", "end").inOrder();
  }

  @Test
  void passesOnThatTheRequestDidNotRun() {
    startAndAwaitArrival();
    far.exchanges
        .get(0)
        .responder()
        .fail(
            new Outcome.NotRun(
                ErrorDetail.of(ResultCode.NOT_RUN_NO_BACKEND, "none"), Optional.empty()));
    awaitEvents(1);

    assertThat(events).containsExactly("not run NOT_RUN_NO_BACKEND");
  }

  @Test
  void lostLinkLeavesTheOutcomeUnknown() {
    startAndAwaitArrival();
    far.node.close();
    awaitEvents(1);

    assertThat(events).containsExactly("unknown OUTCOME_UNKNOWN_PEER_LOST");
  }

  @Test
  void cancelReachesThePeerAndSilencesTheListener() {
    mesh.connect(near, far);
    PeerExchange exchange = start();
    mesh.runUntil("arrival", () -> !far.exchanges.isEmpty());
    exchange.cancel();
    mesh.runUntil("cancel", () -> far.cancelledExchanges > 0);
    far.exchanges.get(0).responder().end();
    mesh.tick();

    assertThat(events).isEmpty();
  }

  /** A receiver that passes parts on too slowly must not fill the link, which others share. */
  @Test
  void pausesAndResumesTheResponse() {
    mesh.connect(near, far);
    PeerExchange exchange = start();
    mesh.runUntil("arrival", () -> !far.exchanges.isEmpty());
    ExchangeResponder responder = far.exchanges.get(0).responder();
    List<String> resumed = new ArrayList<>();
    responder.onResumed(() -> resumed.add("resumed"));
    exchange.setPaused(true);
    mesh.runUntil("pause", responder::isPaused);
    exchange.setPaused(false);
    mesh.runUntil("resumption", () -> !resumed.isEmpty());

    assertThat(responder.isPaused()).isFalse();
  }

  @Test
  void unknownPeerIsReportedAsNotRun() {
    near.node.exchanges().start(EntryVmId.of("nobody"), new byte[0], TIME_LEFT, listener);

    assertThat(events).containsExactly("not run PEER_UNREACHABLE");
  }

  /** Responses that are on their way when their exchange ends must not reach another one. */
  @Nested
  class LateResponses {
    private void respondLate(int index) {
      ExchangeResponder responder = far.exchanges.get(index).responder();
      responder.sendPart("late".getBytes(UTF_8));
      responder.end();
    }

    private boolean hasReceivedNow() {
      return near.linkTo(far).flatMap(LinkView::answerAge).map(Duration::isZero).orElse(false);
    }

    private void awaitOwnResponse(int index) {
      mesh.runUntil("arrival", () -> far.exchanges.size() > index);
      ExchangeResponder responder = far.exchanges.get(index).responder();
      responder.sendPart("own".getBytes(UTF_8));
      responder.end();
      awaitEvents(2);
    }

    @Test
    void toCancelledExchangeDoNotReachTheNext() {
      mesh.connect(near, far);
      PeerExchange first = start();
      mesh.runUntil("arrival", () -> !far.exchanges.isEmpty());
      respondLate(0);
      first.cancel();
      start();
      awaitOwnResponse(1);

      assertThat(events).containsExactly("part own", "end").inOrder();
    }

    @Test
    void toOverdueExchangeDoNotReachTheNext() {
      startAndAwaitArrival();
      for (int second = 0; second < 4 && events.isEmpty(); second++) {
        mesh.timers.advance(Duration.ofSeconds(1));
        mesh.runUntil("frame on the link", this::hasReceivedNow);
      }
      assertThat(events).containsExactly("unknown OUTCOME_UNKNOWN_DEADLINE");
      events.clear();
      start();
      respondLate(0);
      awaitOwnResponse(1);

      assertThat(events).containsExactly("part own", "end").inOrder();
    }

    @Test
    void ofFormerConnectionDoNotReachExchangeOnTheNext() {
      startAndAwaitArrival();
      final ExchangeResponder former = far.exchanges.get(0).responder();
      far.node.close();
      awaitEvents(1);
      events.clear();
      TestNode restarted = mesh.start("vm-b", "zone-b");
      mesh.nodes.remove(far);
      mesh.connect(near, restarted);
      start();
      mesh.runUntil("arrival", () -> !restarted.exchanges.isEmpty());
      former.sendPart("late".getBytes(UTF_8));
      former.end();
      ExchangeResponder responder = restarted.exchanges.get(0).responder();
      responder.sendPart("own".getBytes(UTF_8));
      responder.end();
      awaitEvents(2);

      assertThat(events).containsExactly("part own", "end").inOrder();
    }
  }
}
