package org.amaranthstream.ingress;

import java.util.function.Consumer;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;

/** Reports the outcome of an answer before it is written. */
final class ObservedAnswerWriter implements AnswerWriter {
  private final AnswerWriter writer;
  private final Consumer<Outcome> observer;

  ObservedAnswerWriter(AnswerWriter writer, Consumer<Outcome> observer) {
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
  public boolean isOverrun() {
    return writer.isOverrun();
  }
}
