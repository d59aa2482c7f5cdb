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

/** The side that accepted the connection: challenge, check of the proof, welcome. */
final class ServerHandshakeHandler extends HandshakeHandler {
  private static final Frame WELCOME =
      Frame.newBuilder().setWelcome(Welcome.getDefaultInstance()).build();

  private final ByteString nonce;
  private @Nullable LocalVm claimed;
  private byte @Nullable [] transcript;

  ServerHandshakeHandler(Handshake handshake, LinkEvents events, FrameDecoder decoder) {
    super(handshake, events, decoder);
    this.nonce = handshake.newNonce();
  }

  @Override
  void onHandshakeFrame(ChannelHandlerContext ctx, Frame frame) {
    if (frame.hasHello() && claimed == null) {
      onHello(ctx, frame.getHello());
    } else if (frame.hasProof() && claimed != null) {
      onProof(ctx, frame.getProof(), claimed);
    } else {
      refuse(ctx, "unexpected frame in the handshake: " + frame.getBodyCase());
    }
  }

  private void onHello(ChannelHandlerContext ctx, Hello hello) {
    if (hello.getProtocolVersion() != Handshake.PROTOCOL_VERSION) {
      refuse(ctx, "protocol version " + hello.getProtocolVersion());
      return;
    }
    if (!Handshake.isNonce(hello.getNonce())) {
      refuse(ctx, "nonce of " + hello.getNonce().size() + " bytes");
      return;
    }
    claimed = Handshake.parse(hello.getIdentity());
    transcript =
        Transcript.of(
            Handshake.PROTOCOL_VERSION,
            hello.getIdentity(),
            hello.getNonce(),
            handshake().identity(),
            nonce);
    Challenge challenge =
        Challenge.newBuilder()
            .setProtocolVersion(Handshake.PROTOCOL_VERSION)
            .setIdentity(handshake().identity())
            .setNonce(nonce)
            .setMac(handshake().authenticator().prove(HandshakeRole.SERVER, transcript))
            .build();
    ctx.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build());
  }

  private void onProof(ChannelHandlerContext ctx, Proof proof, LocalVm peer) {
    boolean proved =
        handshake()
            .authenticator()
            .verify(
                HandshakeRole.CLIENT, transcript, proof.getMac(), peer.id().value(), ctx.channel());
    if (!proved) {
      refuse(ctx, "entry VM did not prove itself");
      return;
    }
    ctx.writeAndFlush(WELCOME);
    authenticated(ctx, peer);
  }
}
