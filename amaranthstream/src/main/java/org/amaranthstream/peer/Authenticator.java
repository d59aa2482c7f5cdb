package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;

/** Method by which the sides of a handshake authenticate each other. Thread safe. */
interface Authenticator {
  /** Returns the local side's proof for {@code transcript}, as the side {@code role}. */
  ByteString createProof(HandshakeRole role, byte[] transcript);

  /** Returns true if {@code proof} authenticates the remote side as {@code vm}. */
  boolean verify(
      HandshakeRole role, byte[] transcript, ByteString proof, String vm, Channel channel);
}
