package org.amaranthstream.ingress;

import io.vertx.core.Context;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.WorkListener;

/** A listener that passes the response to one call from the decision thread to the event loop. */
final class EventLoopWorkListener implements WorkListener {
  private final Context context;
  private final ResponseWriter writer;
  private final Runnable cancel;

  /**
   * Creates a listener.
   *
   * @param context event loop of the caller's connection
   * @param writer writer of the response, used on that event loop only
   * @param cancel task that cancels the request, run if the write queue is full
   */
  EventLoopWorkListener(Context context, ResponseWriter writer, Runnable cancel) {
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
    if (writer.isWriteQueueFull()) {
      cancel.run();
    }
  }
}
