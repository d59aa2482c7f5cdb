package org.amaranthstream.peer;

/** Request that a peer forwarded and that runs at this process. */
interface IncomingForward {
  /** Cancels the request; the peer gets nothing more. */
  void stop();

  /** Pauses or resumes the response; only exchanges support it. */
  default void setPaused(boolean isPaused) {}
}
