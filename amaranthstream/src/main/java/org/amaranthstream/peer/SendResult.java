package org.amaranthstream.peer;

/** Result of an attempt to send a frame. */
enum SendResult {
  /** The frame is queued on a connection and may arrive. */
  SENT,
  /** The link has no authenticated connection; the frame is not sent. */
  NOT_CONNECTED,
  /** The bound on waiting frames or bytes is reached; the frame is not sent. */
  FULL,
  /** The frame exceeds the greatest frame size; it is not sent. */
  TOO_LARGE
}
