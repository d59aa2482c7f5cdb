package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.peer.wire.Forward;
import org.amaranthstream.peer.wire.ForwardOutcome;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Generate;
import org.amaranthstream.peer.wire.Heartbeat;
import org.amaranthstream.peer.wire.Ping;
import org.amaranthstream.peer.wire.Report;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmKind;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InboundFramesTest {
  private static final PoolId POOL = PoolId.of("coding");
  private static final String REQUEST = "vm-x/run-1/1";

  private final TestMesh mesh = new TestMesh();
  private final TestNode node = mesh.start("vm-a", "zone-a");

  @AfterEach
  void close() {
    mesh.close();
  }

  private RawClient client() throws IOException {
    return RawClient.authenticated(mesh, node, "vm-x");
  }

  private static Frame forward(long id) {
    return Frame.newBuilder()
        .setForward(
            Forward.newBuilder()
                .setId(id)
                .setRequest(REQUEST)
                .setWorkClass("lookup")
                .setPool(POOL.value())
                .setRemainingMs(60_000)
                .setGenerate(Generate.newBuilder().setPrompt("bolts").setMaxTokens(4)))
        .build();
  }

  @Nested
  class Forwards {
    @Test
    void repeatedForwardIdRunsOnce() throws IOException {
      try (RawClient client = client()) {
        client.send(forward(7));
        client.send(forward(7));
        mesh.duty.runNext();
        mesh.duty.runNext();
        ForwardOutcome rejection = client.read().getForwardOutcome();
        assertThat(node.runner.submitted).hasSize(1);
        assertThat(rejection.getUnknown().getCode())
            .isEqualTo(ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN.number());
      }
    }

    @Test
    void forwardIdRepeatedOnAnotherConnectionRunsOnce() throws IOException {
      try (RawClient first = client()) {
        first.send(forward(7));
        mesh.duty.runNext();
        try (RawClient second = client()) {
          second.send(forward(7));
          mesh.runUntil("replacement", () -> node.runner.cancelled.size() == 1);
          // The close of the first connection and the frame of the second, in either order.
          mesh.duty.runNext();
          mesh.duty.runNext();
          assertThat(second.read().getForwardOutcome().hasUnknown()).isTrue();
          assertThat(node.runner.submitted).hasSize(1);
        }
      }
    }

    @Test
    void newForwardOfTheSameRequestCancelsTheEarlierOne() throws IOException {
      try (RawClient client = client()) {
        client.send(forward(7));
        client.send(forward(8));
        mesh.duty.runNext();
        mesh.duty.runNext();
        assertThat(node.runner.cancelled).containsExactly(RequestId.parse(REQUEST));
        assertThat(node.runner.submitted).hasSize(2);
      }
    }

    @Test
    void invalidForwardIsNotRun() throws IOException {
      Frame.Builder invalid = forward(7).toBuilder();
      invalid.getForwardBuilder().setRequest("not a request id");
      try (RawClient client = client()) {
        client.send(invalid.build());
        mesh.duty.runNext();
        assertThat(client.read().getForwardOutcome().hasNotRun()).isTrue();
        assertThat(node.runner.submitted).isEmpty();
      }
    }

    @Test
    void chunkThatExceedsFrameGivesUnknownOutcome() throws IOException {
      try (RawClient client = client()) {
        client.send(forward(7));
        mesh.duty.runNext();
        String text = "x".repeat(2 << 20);
        node.runner
            .listeners
            .get(RequestId.parse(REQUEST))
            .onChunk(new Chunk(0, 1, text, Optional.empty(), Optional.empty()));
        assertThat(client.read().getForwardOutcome().hasUnknown()).isTrue();
        assertThat(node.runner.cancelled).hasSize(1);
      }
    }

    /** After a frame that cannot be read, nothing on its connection is a frame. */
    @Test
    void forwardBehindInvalidFrameIsNotRun() throws IOException {
      byte[] valid = forward(7).toByteArray();
      byte[] invalid = {(byte) 0xff, (byte) 0xff, (byte) 0xff};
      ByteBuffer bytes = ByteBuffer.allocate(2 * Integer.BYTES + invalid.length + valid.length);
      bytes.putInt(invalid.length).put(invalid).putInt(valid.length).put(valid);
      try (RawClient client = client()) {
        client.sendBytes(bytes.array());
        assertThat(client.isClosedByRemoteSide()).isTrue();
        mesh.duty.runNext();
        assertThat(node.runner.submitted).isEmpty();
      }
    }

    @Test
    void forwardReceivedAfterKeepAliveTimeoutIsNotRun() throws IOException {
      try (RawClient client = client()) {
        mesh.timers.advance(Duration.ofSeconds(4));
        client.send(forward(7));
        mesh.duty.runNext();
        assertThat(client.isClosedByRemoteSide()).isTrue();
        assertThat(node.runner.submitted).isEmpty();
      }
    }
  }

  @Nested
  class DelayedReports {
    private static Frame heartbeat(long sequence, long acked) {
      Report report =
          Report.newBuilder().setServer("s").setIncarnation("run-1").setSlots(8).build();
      return Frame.newBuilder()
          .setHeartbeat(
              Heartbeat.newBuilder()
                  .setSequence(sequence)
                  .setAckedSequence(acked)
                  .addReport(report))
          .build();
    }

    private void publishServer() {
      VmEntry server =
          new VmEntry(
              "s",
              VmKind.BACKEND,
              RegionId.of("region-zone-a"),
              AvailabilityZoneId.of("zone-a"),
              "127.0.0.1",
              1,
              Optional.of(POOL),
              false);
      node.table.onVmList(List.of(node.entry(), server), mesh.timers.nowNanos());
    }

    private boolean isReportApplied(long acked) throws IOException {
      publishServer();
      try (RawClient client = client()) {
        client.send(Frame.newBuilder().setPing(Ping.newBuilder().setSequence(1)).build());
        mesh.duty.runNext();
        mesh.timers.advance(Duration.ofSeconds(2));
        client.send(Frame.newBuilder().setPing(Ping.newBuilder().setSequence(2)).build());
        mesh.duty.runNext();
        mesh.timers.advance(Duration.ofSeconds(2));
        client.send(heartbeat(3, acked));
        mesh.duty.runNext();
        assertThat(node.receivedGenerations).hasSize(1);
      }
      return node.table.local(POOL).get(0).report().isPresent();
    }

    @Test
    void reportWithRecentAcknowledgementIsApplied() throws IOException {
      assertThat(isReportApplied(2)).isTrue();
    }

    @Test
    void reportWithOldAcknowledgementIsDropped() throws IOException {
      assertThat(isReportApplied(1)).isFalse();
    }

    @Test
    void reportWithoutAcknowledgementOnOldConnectionIsDropped() throws IOException {
      assertThat(isReportApplied(0)).isFalse();
    }

    @Test
    void reportWithUnknownAcknowledgementIsDropped() throws IOException {
      assertThat(isReportApplied(99)).isFalse();
    }
  }
}
