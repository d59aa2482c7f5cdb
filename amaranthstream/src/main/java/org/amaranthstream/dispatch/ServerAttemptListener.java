package org.amaranthstream.dispatch;

/** Receiver of the events of all attempts on servers. */
interface ServerAttemptListener {

  void onChunk(ServerAttempt attempt, Chunk chunk);

  void onEnd(ServerAttempt attempt, AttemptEnd end);
}
