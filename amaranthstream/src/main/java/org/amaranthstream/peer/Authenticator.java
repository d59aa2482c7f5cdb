package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;

/** Makes and checks the proofs of a handshake. Thread safe. */
interface Authenticator {
  /** Returns the proof that {@code role} has seen {@code transcript}. */
  ByteString prove(HandshakeRole role, byte[] transcript);

  /** Returns true if {@code proof} shows that the other side, {@code vm}, is who it says. */
  boolean verify(
      HandshakeRole role, byte[] transcript, ByteString proof, String vm, Channel channel);
}
