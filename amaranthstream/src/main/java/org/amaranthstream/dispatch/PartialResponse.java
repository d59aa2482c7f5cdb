package org.amaranthstream.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;

/**
 * The part of a response that has arrived so far.
 *
 * <p>Passes the chunks of a generated response to the listener as they arrive. Buffers the chunks
 * of a plain service's response until it is complete, because such a response cannot be resumed and
 * the next attempt starts it again. Used on the decision thread only.
 */
final class PartialResponse {
  private final boolean streamed;
  private final Optional<WeightVersion> minimumVersion;
  private final WorkListener listener;
  private final StringBuilder text = new StringBuilder();
  private final List<Chunk> buffered = new ArrayList<>();
  private long tokens;
  private boolean versionsKnown = true;

  PartialResponse(Work work, WorkListener listener) {
    this.streamed = work.payload() instanceof Payload.Generate;
    this.minimumVersion = work.minimumVersion();
    this.listener = listener;
  }

  /** Returns why {@code chunk} is not a valid next chunk, or empty if it is valid. */
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

  /** Adds a valid chunk and passes it to the listener if the response is generated. */
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

  /** Returns why {@code response} is not a valid end, or empty if it is valid. */
  Optional<String> validateEnd(CompletedResponse response) {
    if (streamed && response.tokens() != tokens) {
      return Optional.of("end after " + response.tokens() + " tokens, " + tokens + " arrived");
    }
    return Optional.empty();
  }

  /** Passes the buffered chunks to the listener. */
  void flush() {
    buffered.forEach(listener::onChunk);
    buffered.clear();
  }

  /** Discards the buffered chunks, which the next attempt produces again. */
  void resetBuffered() {
    if (!streamed) {
      buffered.clear();
      tokens = 0;
    }
  }

  /**
   * Returns true if another attempt can continue the response or start it again. A generated
   * response that has tokens of an unknown weight version cannot be continued.
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
