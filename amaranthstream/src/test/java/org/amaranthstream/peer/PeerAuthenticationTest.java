package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.amaranthstream.peer.wire.Challenge;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Heartbeat;
import org.amaranthstream.peer.wire.Ping;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerAuthenticationTest {
  private static final PeerLinkSettings OTHER_KEY =
      TestMesh.settings().credentials(TestMesh.key("another key, also of 32 bytes...")).build();

  private final TestMesh mesh = new TestMesh();
  private final TestNode node = mesh.start("vm-a", "zone-a");

  @AfterEach
  void close() {
    mesh.close();
  }

  private static Frame hello(String vm, int nonceBytes) {
    return RawClient.hello(vm, nonceBytes);
  }

  private static Frame proof(ByteString mac) {
    return RawClient.proof(mac);
  }

  @Nested
  class SharedKeys {
    @Test
    void otherKeyIsRejectedInBothDirections() {
      final TestNode otherNode = mesh.start("vm-b", "zone-a", OTHER_KEY);
      mesh.publishVmList();
      mesh.tick();
      mesh.runUntil("rejections", () -> isRejected(node, otherNode) && isRejected(otherNode, node));
      assertThat(node.node.snapshot().inbound()).isEmpty();
      assertThat(otherNode.node.snapshot().inbound()).isEmpty();
    }

    private boolean isRejected(TestNode from, TestNode to) {
      return from.linkTo(to).map(link -> link.phase() == LinkPhase.BACKOFF).orElse(false);
    }

    @Test
    void proofOfServerIsNotValidAsProofOfClient() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.send(hello("vm-x", 32));
        Challenge challenge = client.read().getChallenge();
        client.send(proof(challenge.getMac()));
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
    }

    @Test
    void emptyProofIsRejected() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.send(hello("vm-x", 32));
        client.read();
        client.send(proof(ByteString.EMPTY));
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
    }

    @Test
    void otherEntryVmAtTheAddressIsRejected() {
      TestNode other = mesh.start("vm-b", "zone-a");
      TestNode third = mesh.start("vm-c", "zone-a");
      node.table.onVmList(
          java.util.List.of(node.entry(), other.entry(third.port)), mesh.timers.nowNanos());
      mesh.tick();
      mesh.runUntil("rejection", () -> isRejected(node, other));
      assertThat(node.linkTo(other).orElseThrow().lastLoss()).contains("found another");
    }
  }

  @Nested
  class BeforeAuthentication {
    @Test
    void heartbeatClosesTheConnection() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.send(
            Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setConfigGeneration(99))
                .build());
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
      assertThat(node.receivedGenerations).isEmpty();
    }

    @Test
    void shortNonceClosesTheConnection() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.send(hello("vm-x", 8));
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
    }

    @Test
    void invalidIdentityClosesTheConnection() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.send(hello("no spaces allowed", 32));
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
    }

    @Test
    void invalidBytesCloseTheConnection() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.sendBytes("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
    }

    @Test
    void oversizedFrameClosesTheConnectionUnread() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.sendLength(FrameDecoder.MAX_HANDSHAKE_BYTES + 1);
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
    }

    @Test
    void truncatedFrameClosesTheConnection() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.sendLength(100);
        client.sendBytes(new byte[50]);
        client.shutDownOutput();
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
    }

    @Test
    void missingProofClosesTheConnectionAtTimeout() throws IOException {
      try (RawClient client = new RawClient(node.port)) {
        client.send(hello("vm-x", 32));
        client.read();
        mesh.timers.advance(TestMesh.settings().build().connectTimeout());
        assertThat(client.isClosedByRemoteSide()).isTrue();
      }
    }

    @Test
    void connectionsOverTheLimitAreClosed() throws IOException {
      TestNode small = mesh.start("vm-s", "zone-a", TestMesh.settings().maxInboundLinks(1).build());
      try (RawClient first = new RawClient(small.port);
          RawClient second = new RawClient(small.port)) {
        assertThat(second.isClosedByRemoteSide()).isTrue();
        first.send(hello("vm-x", 32));
        assertThat(first.read().hasChallenge()).isTrue();
      }
    }
  }

  @Nested
  class AfterAuthentication {
    private RawClient authenticated() throws IOException {
      return RawClient.authenticated(mesh, node, "vm-x");
    }

    private void assertClosed(RawClient client) throws IOException {
      assertThat(client.isClosedByRemoteSide()).isTrue();
      mesh.runUntil("removal of the inbound link", () -> node.node.snapshot().inbound().isEmpty());
    }

    @Test
    void pingGetsPong() throws IOException {
      try (RawClient client = authenticated()) {
        client.send(Frame.newBuilder().setPing(Ping.newBuilder().setSequence(5)).build());
        mesh.duty.runNext();
        assertThat(client.read().getPong().getSequence()).isEqualTo(5);
      }
    }

    @Test
    void oversizedFrameClosesTheConnection() throws IOException {
      try (RawClient client = authenticated()) {
        client.sendLength((1 << 20) + 1);
        assertClosed(client);
      }
    }

    @Test
    void invalidBytesCloseTheConnection() throws IOException {
      try (RawClient client = authenticated()) {
        client.sendLength(3);
        client.sendBytes(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff});
        assertClosed(client);
      }
    }

    @Test
    void heartbeatWithInvalidFieldsIsNotApplied() throws IOException {
      try (RawClient client = authenticated()) {
        Heartbeat.Builder heartbeat = Heartbeat.newBuilder().setConfigGeneration(99);
        heartbeat.addLeavingBuilder().setServer("no spaces allowed");
        client.send(Frame.newBuilder().setHeartbeat(heartbeat).build());
        mesh.duty.runNext();
        assertClosed(client);
      }
      assertThat(node.receivedGenerations).isEmpty();
    }

    @Test
    void helloClosesTheConnection() throws IOException {
      try (RawClient client = authenticated()) {
        client.send(hello("vm-x", 32));
        mesh.duty.runNext();
        assertClosed(client);
      }
    }
  }
}
