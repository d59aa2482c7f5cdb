package org.amaranthstream.peer;

/** Where an outbound link is. */
public enum LinkPhase {
  /** No connection is wanted any more. */
  CLOSED,
  /** A connection is being made and authenticated. */
  CONNECTING,
  /** Frames pass. */
  READY,
  /** The next try waits. */
  BACKOFF
}
