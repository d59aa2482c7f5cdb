package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import org.amaranthstream.peer.wire.Challenge;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Hello;
import org.amaranthstream.peer.wire.Identity;
import org.amaranthstream.peer.wire.Proof;

/** Blocking client that sends valid or invalid frames and bytes to a peer link. */
final class RawClient implements AutoCloseable {
  private static final int TIMEOUT_MS = 20_000;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;

  RawClient(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(TIMEOUT_MS);
    in = new DataInputStream(socket.getInputStream());
    out = new DataOutputStream(socket.getOutputStream());
  }

  /** Returns a hello frame of {@code vm} in zone-a. */
  static Frame hello(String vm, int nonceBytes) {
    Identity identity =
        Identity.newBuilder()
            .setVm(vm)
            .setIncarnation("run-1")
            .setRegion("region-zone-a")
            .setZone("zone-a")
            .build();
    return Frame.newBuilder()
        .setHello(
            Hello.newBuilder()
                .setProtocolVersion(HandshakeContext.PROTOCOL_VERSION)
                .setIdentity(identity)
                .setNonce(ByteString.copyFrom(new byte[nonceBytes])))
        .build();
  }

  static Frame proof(ByteString mac) {
    return Frame.newBuilder().setProof(Proof.newBuilder().setMac(mac)).build();
  }

  /** Returns a client that has authenticated to {@code node} as {@code vm}. */
  static RawClient authenticated(TestMesh mesh, TestNode node, String vm) throws IOException {
    RawClient client = new RawClient(node.port);
    Hello hello = hello(vm, 32).getHello();
    client.send(Frame.newBuilder().setHello(hello).build());
    Challenge challenge = client.read().getChallenge();
    byte[] transcript =
        Transcript.of(
            HandshakeContext.PROTOCOL_VERSION,
            hello.getIdentity(),
            hello.getNonce(),
            challenge.getIdentity(),
            challenge.getNonce());
    SharedKeyAuthenticator authenticator =
        new SharedKeyAuthenticator(
            (PeerCredentials.SharedKey) TestMesh.settings().build().credentials());
    client.send(proof(authenticator.createProof(HandshakeRole.CLIENT, transcript)));
    assertThat(client.read().hasWelcome()).isTrue();
    mesh.runUntil("accepted", () -> node.hasInboundLinkFrom(vm));
    return client;
  }

  void send(Frame frame) throws IOException {
    byte[] body = frame.toByteArray();
    out.writeInt(body.length);
    out.write(body);
    out.flush();
  }

  void sendBytes(byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
  }

  void sendLength(int length) throws IOException {
    out.writeInt(length);
    out.flush();
  }

  void shutDownOutput() throws IOException {
    socket.shutdownOutput();
  }

  Frame read() throws IOException {
    byte[] body = new byte[in.readInt()];
    in.readFully(body);
    return Frame.parseFrom(body);
  }

  /**
   * Waits for the remote side; returns true if it closes the connection, false if it sends data.
   */
  boolean isClosedByRemoteSide() throws IOException {
    try {
      return in.read() < 0;
    } catch (EOFException | SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
