package org.amaranthstream.peer;

/** Which side of a connection proves itself; keeps one side's proof from passing as the other's. */
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
