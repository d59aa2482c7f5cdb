package org.amaranthstream.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;

/**
 * The part of an answer that has arrived so far.
 *
 * <p>Passes the parts of a generated answer to the listener as they arrive. Buffers the parts of a
 * plain service's answer until it is whole, because such an answer cannot be resumed and the next
 * attempt starts it again. Used on the decision thread only.
 */
final class PartialAnswer {
  private final boolean streamed;
  private final Optional<WeightVersion> minimumVersion;
  private final WorkListener listener;
  private final StringBuilder text = new StringBuilder();
  private final List<Chunk> buffered = new ArrayList<>();
  private long tokens;
  private boolean versionsKnown = true;

  PartialAnswer(Work work, WorkListener listener) {
    this.streamed = work.payload() instanceof Payload.Generate;
    this.minimumVersion = work.minimumVersion();
    this.listener = listener;
  }

  /** Returns why {@code chunk} is not a valid next part, or empty if it is valid. */
  Optional<String> validate(Chunk chunk) {
    if (chunk.offset() != tokens) {
      return Optional.of("part at offset " + chunk.offset() + " instead of " + tokens);
    }
    if (chunk.tokens() < 0) {
      return Optional.of("part of " + chunk.tokens() + " tokens");
    }
    if (minimumVersion.isEmpty()) {
      return Optional.empty();
    }
    if (chunk.version().isEmpty()) {
      return Optional.of("part without a weight version");
    }
    if (minimumVersion.get().isAfter(chunk.version().get())) {
      return Optional.of(
          "part of version " + chunk.version().get() + ", oldest allowed " + minimumVersion.get());
    }
    return Optional.empty();
  }

  /** Adds a valid part and passes it to the listener if the answer is generated. */
  void add(Chunk chunk) {
    tokens += chunk.tokens();
    if (!streamed) {
      buffered.add(chunk);
      return;
    }
    versionsKnown &= chunk.version().isPresent();
    text.append(chunk.text());
    listener.onChunk(chunk);
  }

  /** Returns why {@code answer} is not a valid end, or empty if it is valid. */
  Optional<String> validateEnd(CompletedResponse answer) {
    if (streamed && answer.tokens() != tokens) {
      return Optional.of("end after " + answer.tokens() + " tokens, " + tokens + " arrived");
    }
    return Optional.empty();
  }

  /** Passes the buffered parts to the listener. */
  void flush() {
    buffered.forEach(listener::onChunk);
    buffered.clear();
  }

  /** Discards the buffered parts, which the next attempt produces again. */
  void resetBuffered() {
    if (!streamed) {
      buffered.clear();
      tokens = 0;
    }
  }

  /**
   * Returns true if another attempt can continue the answer or start it again. A generated answer
   * that has tokens of an unknown weight version cannot be continued.
   */
  boolean isResumable() {
    return !streamed || tokens == 0 || versionsKnown;
  }

  /** Returns the number of tokens that have arrived. */
  long tokens() {
    return tokens;
  }

  /** Returns the generated text that has arrived, empty for a plain service. */
  String text() {
    return text.toString();
  }
}
