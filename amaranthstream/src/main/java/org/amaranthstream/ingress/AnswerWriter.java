package org.amaranthstream.ingress;

import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;

/** Writes the answer to one call in the form that its caller asked for. Used on one event loop. */
interface AnswerWriter {

  /** Takes the next part of the answer. */
  void write(Chunk chunk);

  /** Ends the answer. */
  void end(Outcome outcome);

  /** Returns true if the caller reads so slowly that no more can be buffered for it. */
  boolean isOverrun();
}
