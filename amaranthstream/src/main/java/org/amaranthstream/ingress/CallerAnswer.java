package org.amaranthstream.ingress;

import io.vertx.core.Context;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.WorkListener;

/** Carries the answer to one call from the decision thread to the caller's event loop. */
final class CallerAnswer implements WorkListener {
  private final Context context;
  private final AnswerWriter writer;
  private final Runnable cancel;

  /**
   * Creates the link.
   *
   * @param context the caller's event loop
   * @param writer used on that event loop only
   * @param cancel stops the request when the caller does not read its answer
   */
  CallerAnswer(Context context, AnswerWriter writer, Runnable cancel) {
    this.context = context;
    this.writer = writer;
    this.cancel = cancel;
  }

  @Override
  public void onChunk(Chunk chunk) {
    context.runOnContext(unused -> write(chunk));
  }

  @Override
  public void onOutcome(Outcome outcome) {
    context.runOnContext(unused -> writer.end(outcome));
  }

  private void write(Chunk chunk) {
    writer.write(chunk);
    if (writer.isOverrun()) {
      cancel.run();
    }
  }
}
