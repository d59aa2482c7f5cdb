package org.amaranthstream.peer;

/** Phase of an outbound link. */
public enum LinkPhase {
  /** The link is closed and does not reconnect. */
  CLOSED,
  /** A connection is being opened and authenticated. */
  CONNECTING,
  /** The connection is authenticated and transfers frames. */
  READY,
  /** The link waits before the next connection attempt. */
  BACKOFF
}
