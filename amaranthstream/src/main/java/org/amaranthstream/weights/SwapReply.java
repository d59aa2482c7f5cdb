package org.amaranthstream.weights;

/** Reply of an engine to a swap order. */
public enum SwapReply {
  /** The engine has started to load the version. */
  STARTED,
  /** The engine has already loaded that version. */
  HELD_ALREADY,
  /** Another order is in progress or was accepted before this one. */
  CONFLICT,
  /** The engine has seen a higher fencing token. */
  FENCED,
  /** The engine rejected the version as unknown. */
  UNKNOWN_VERSION,
  /** Another server now has the engine's address. */
  SERVER_REPLACED,
  /** The order was not sent: this daemon is no longer the leader. */
  NOT_ALLOWED,
  /** The order was not sent: no connection could be opened. */
  NOT_SENT,
  /** The outcome is unknown: the engine may execute the order now or later. */
  UNKNOWN
}
