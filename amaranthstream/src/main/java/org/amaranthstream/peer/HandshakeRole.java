package org.amaranthstream.peer;

/**
 * Side of a connection that a proof authenticates. It is part of the proof, so that the proof of
 * one side is not valid as the proof of the other.
 */
enum HandshakeRole {
  CLIENT((byte) 0),
  SERVER((byte) 1);

  private final byte tag;

  HandshakeRole(byte tag) {
    this.tag = tag;
  }

  byte tag() {
    return tag;
  }
}
