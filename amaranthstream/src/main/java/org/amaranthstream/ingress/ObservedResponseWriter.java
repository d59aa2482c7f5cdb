package org.amaranthstream.ingress;

import java.util.function.Consumer;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;

/** A response writer that passes the outcome to an observer before it writes it. */
final class ObservedResponseWriter implements ResponseWriter {
  private final ResponseWriter writer;
  private final Consumer<Outcome> observer;

  ObservedResponseWriter(ResponseWriter writer, Consumer<Outcome> observer) {
    this.writer = writer;
    this.observer = observer;
  }

  @Override
  public void write(Chunk chunk) {
    writer.write(chunk);
  }

  @Override
  public void end(Outcome outcome) {
    observer.accept(outcome);
    writer.end(outcome);
  }

  @Override
  public boolean isWriteQueueFull() {
    return writer.isWriteQueueFull();
  }
}
