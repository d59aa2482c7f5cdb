package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Challenge;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Hello;
import org.amaranthstream.peer.wire.Proof;
import org.amaranthstream.peer.wire.Welcome;
import org.jspecify.annotations.Nullable;

/**
 * Handshake of the side that accepted the connection. It responds to the hello with a challenge,
 * verifies the proof and sends the welcome.
 */
final class ServerHandshakeHandler extends HandshakeHandler {
  private static final Frame WELCOME =
      Frame.newBuilder().setWelcome(Welcome.getDefaultInstance()).build();

  private final ByteString nonce;
  private @Nullable LocalVm claimedPeer;
  private byte @Nullable [] transcript;

  ServerHandshakeHandler(
      HandshakeContext handshake, ConnectionListener listener, FrameDecoder decoder) {
    super(handshake, listener, decoder);
    this.nonce = handshake.newNonce();
  }

  @Override
  void onHandshakeFrame(ChannelHandlerContext ctx, Frame frame) {
    if (frame.hasHello() && claimedPeer == null) {
      onHello(ctx, frame.getHello());
    } else if (frame.hasProof() && claimedPeer != null) {
      onProof(ctx, frame.getProof(), claimedPeer);
    } else {
      reject(ctx, "unexpected frame in the handshake: " + frame.getBodyCase());
    }
  }

  private void onHello(ChannelHandlerContext ctx, Hello hello) {
    if (hello.getProtocolVersion() != HandshakeContext.PROTOCOL_VERSION) {
      reject(ctx, "unsupported protocol version " + hello.getProtocolVersion());
      return;
    }
    if (!HandshakeContext.isNonce(hello.getNonce())) {
      reject(ctx, "unexpected nonce size of " + hello.getNonce().size() + " bytes");
      return;
    }
    claimedPeer = HandshakeContext.parseIdentity(hello.getIdentity());
    transcript =
        Transcript.of(
            HandshakeContext.PROTOCOL_VERSION,
            hello.getIdentity(),
            hello.getNonce(),
            handshake().identity(),
            nonce);
    Challenge challenge =
        Challenge.newBuilder()
            .setProtocolVersion(HandshakeContext.PROTOCOL_VERSION)
            .setIdentity(handshake().identity())
            .setNonce(nonce)
            .setMac(handshake().authenticator().createProof(HandshakeRole.SERVER, transcript))
            .build();
    ctx.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build());
  }

  private void onProof(ChannelHandlerContext ctx, Proof proof, LocalVm peer) {
    boolean authenticated =
        handshake()
            .authenticator()
            .verify(
                HandshakeRole.CLIENT, transcript, proof.getMac(), peer.id().value(), ctx.channel());
    if (!authenticated) {
      reject(ctx, "entry VM did not authenticate");
      return;
    }
    ctx.writeAndFlush(WELCOME);
    completeHandshake(ctx, peer);
  }
}
