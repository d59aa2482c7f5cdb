package org.amaranthstream.standins.link;

/** Treatment of bytes and of new connections by a link. */
public enum LinkState {
  /** Bytes are forwarded. */
  UP,
  /** Bytes are dropped. Connections stay open, and new ones are accepted but get no data. */
  SILENT,
  /** Open connections are closed, and new ones are closed on accept. */
  CLOSED
}
