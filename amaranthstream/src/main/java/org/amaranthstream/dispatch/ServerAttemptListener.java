package org.amaranthstream.dispatch;

/** Listener for the events of all attempts on backend servers of the local availability zone. */
interface ServerAttemptListener {

  void onChunk(ServerAttempt attempt, Chunk chunk);

  void onEnd(ServerAttempt attempt, AttemptEnd end);
}
