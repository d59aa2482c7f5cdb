package org.amaranthstream.dispatch;

/** What is at work on a request. Used on the decision thread only. */
interface RunningAttempt {

  /** Stops it; events that still come are ignored. */
  void cancel();

  /** Returns where it runs, for records. */
  String place();
}
