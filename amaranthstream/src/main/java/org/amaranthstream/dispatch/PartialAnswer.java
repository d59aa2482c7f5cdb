package org.amaranthstream.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;

/**
 * The part of an answer that has arrived.
 *
 * <p>Parts of a generated answer are passed on as they come. Parts of a plain service's answer are
 * kept until it is whole, because it cannot be resumed. Used on the decision thread only.
 */
final class PartialAnswer {
  private final boolean streamed;
  private final Optional<WeightVersion> minimumVersion;
  private final WorkListener listener;
  private final StringBuilder text = new StringBuilder();
  private final List<Chunk> kept = new ArrayList<>();
  private long tokens;
  private boolean versionsKnown = true;

  PartialAnswer(Work work, WorkListener listener) {
    this.streamed = work.payload() instanceof Payload.Generate;
    this.minimumVersion = work.minimumVersion();
    this.listener = listener;
  }

  /** Returns why {@code chunk} cannot be the next part, or empty if it can. */
  Optional<String> reject(Chunk chunk) {
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

  void add(Chunk chunk) {
    tokens += chunk.tokens();
    if (!streamed) {
      kept.add(chunk);
      return;
    }
    versionsKnown &= chunk.version().isPresent();
    text.append(chunk.text());
    listener.onChunk(chunk);
  }

  /** Returns why {@code answer} cannot be the end, or empty if it can. */
  Optional<String> rejectEnd(CompletedResponse answer) {
    if (streamed && answer.tokens() != tokens) {
      return Optional.of("end after " + answer.tokens() + " tokens, " + tokens + " arrived");
    }
    return Optional.empty();
  }

  /** Passes on what was kept. */
  void release() {
    kept.forEach(listener::onChunk);
    kept.clear();
  }

  /** Forgets what another attempt will give again. */
  void restart() {
    if (!streamed) {
      kept.clear();
      tokens = 0;
    }
  }

  /** Returns true if another attempt can continue the answer or start it anew. */
  boolean isResumable() {
    return !streamed || tokens == 0 || versionsKnown;
  }

  long tokens() {
    return tokens;
  }

  String text() {
    return text.toString();
  }
}
