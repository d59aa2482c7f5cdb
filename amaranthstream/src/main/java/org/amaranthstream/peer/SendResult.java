package org.amaranthstream.peer;

/** Whether a frame was handed to a connection. */
enum SendResult {
  /** The frame was handed over and may arrive. */
  SENT,
  /** There is no authenticated connection; nothing was handed over. */
  NOT_CONNECTED,
  /** Too much waits already; nothing was handed over. */
  FULL,
  /** The frame is larger than the other side takes; nothing was handed over. */
  TOO_LARGE
}
