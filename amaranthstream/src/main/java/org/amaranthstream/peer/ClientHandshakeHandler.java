package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Challenge;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Hello;
import org.amaranthstream.peer.wire.Proof;
import org.jspecify.annotations.Nullable;

/**
 * Handshake of the side that opened the connection. It sends a hello, verifies the challenge, sends
 * its proof and waits for the welcome.
 */
final class ClientHandshakeHandler extends HandshakeHandler {
  private final EntryVmId expected;
  private final boolean tls;
  private final ByteString nonce;
  private @Nullable LocalVm peer;

  ClientHandshakeHandler(
      HandshakeContext handshake,
      EntryVmId expected,
      boolean tls,
      ConnectionListener listener,
      FrameDecoder decoder) {
    super(handshake, listener, decoder);
    this.expected = expected;
    this.tls = tls;
    this.nonce = handshake.newNonce();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    if (!tls) {
      sendHello(ctx);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof SslHandshakeCompletionEvent completion && completion.isSuccess()) {
      sendHello(ctx);
    }
  }

  private void sendHello(ChannelHandlerContext ctx) {
    Hello hello =
        Hello.newBuilder()
            .setProtocolVersion(HandshakeContext.PROTOCOL_VERSION)
            .setIdentity(handshake().identity())
            .setNonce(nonce)
            .build();
    ctx.writeAndFlush(Frame.newBuilder().setHello(hello).build());
  }

  @Override
  void onHandshakeFrame(ChannelHandlerContext ctx, Frame frame) {
    if (frame.hasChallenge() && peer == null) {
      onChallenge(ctx, frame.getChallenge());
    } else if (frame.hasWelcome() && peer != null) {
      completeHandshake(ctx, peer);
    } else {
      reject(ctx, "unexpected frame in the handshake: " + frame.getBodyCase());
    }
  }

  private void onChallenge(ChannelHandlerContext ctx, Challenge challenge) {
    if (challenge.getProtocolVersion() != HandshakeContext.PROTOCOL_VERSION) {
      reject(ctx, "unsupported protocol version " + challenge.getProtocolVersion());
      return;
    }
    String vm = challenge.getIdentity().getVm();
    if (!vm.equals(expected.value())) {
      reject(ctx, "expected entry VM " + expected + ", found another");
      return;
    }
    byte[] transcript =
        Transcript.of(
            HandshakeContext.PROTOCOL_VERSION,
            handshake().identity(),
            nonce,
            challenge.getIdentity(),
            challenge.getNonce());
    Authenticator authenticator = handshake().authenticator();
    if (!HandshakeContext.isNonce(challenge.getNonce())
        || !authenticator.verify(
            HandshakeRole.SERVER, transcript, challenge.getMac(), vm, ctx.channel())) {
      reject(ctx, "entry VM " + expected + " did not authenticate");
      return;
    }
    peer = HandshakeContext.parseIdentity(challenge.getIdentity());
    ByteString mac = authenticator.createProof(HandshakeRole.CLIENT, transcript);
    ctx.writeAndFlush(Frame.newBuilder().setProof(Proof.newBuilder().setMac(mac)).build());
  }
}
