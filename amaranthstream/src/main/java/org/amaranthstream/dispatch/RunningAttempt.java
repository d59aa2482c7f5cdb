package org.amaranthstream.dispatch;

/** An attempt in progress, local or forwarded. Used on the decision thread only. */
interface RunningAttempt {

  /** Cancels the attempt; later events of it are ignored. */
  void cancel();

  /** Returns the server or zone that runs the attempt, for decision records and messages. */
  String place();
}
