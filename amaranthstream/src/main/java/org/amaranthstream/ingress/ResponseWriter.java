package org.amaranthstream.ingress;

import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;

/** A writer of the response to one call. Used on one event loop. */
interface ResponseWriter {

  /** Writes or buffers the next chunk of the response. */
  void write(Chunk chunk);

  /** Ends the response, with an error if {@code outcome} is not a completed one. */
  void end(Outcome outcome);

  /** Returns true if the write queue is full, because the caller reads too slowly. */
  boolean isWriteQueueFull();
}
