package org.amaranthstream.weights;

/** How an engine took an order. */
public enum SwapReply {
  /** The engine carries the order out. */
  STARTED,
  /** The engine holds that version already. */
  HELD_ALREADY,
  /** Another order is under way or came before. */
  CONFLICT,
  /** The engine has seen a higher fencing number. */
  FENCED,
  /** The engine does not know the version. */
  UNKNOWN_VERSION,
  /** Another incarnation has the engine's address. */
  SERVER_REPLACED,
  /** The order was not sent: this daemon may not order any more. */
  NOT_ALLOWED,
  /** The order was not sent: there is no connection. */
  NOT_SENT,
  /** The order may be carried out, now or later. */
  UNKNOWN
}
