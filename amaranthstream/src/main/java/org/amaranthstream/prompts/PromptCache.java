package org.amaranthstream.prompts;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PromptPartId;
import org.amaranthstream.ids.WeightVersion;

/**
 * View of the parts of prompts that one engine holds, from the requests that this process sent to
 * it.
 *
 * <p>An engine keeps the parts that it has read in the memory that running requests leave free. It
 * discards the least recently used parts first, and all parts of a model whose weights change. The
 * requests of other processes are not seen, so the view may hold parts that the engine has
 * discarded; a wrong guess costs the reading of the part, and no more. Not thread safe.
 */
final class PromptCache {
  private final long memoryTokens;
  private long runningTokens;
  private long heldTokens;

  /** The held parts; the least recently used part is first. */
  private final Map<Key, Part> parts = new LinkedHashMap<>(16, 0.75f, true);

  /** The weight versions under which the held parts were read. */
  private final Map<ModelId, WeightVersion> versions = new HashMap<>();

  private record Key(ModelId model, PromptPartId id) {}

  private record Part(long tokens, Run lastUser) {}

  /** A request at the engine, which identifies the parts that it was the last to use. */
  static final class Run {
    private final Prompt prompt;

    private Run(Prompt prompt) {
      this.prompt = prompt;
    }
  }

  PromptCache(long memoryTokens) {
    checkArgument(memoryTokens > 0, "memoryTokens must be positive, but was %s", memoryTokens);
    this.memoryTokens = memoryTokens;
  }

  /** Discards the parts of {@code model} if the engine has loaded other weights since. */
  void onVersion(ModelId model, Optional<WeightVersion> version) {
    WeightVersion before = version.isPresent() ? versions.put(model, version.get()) : null;
    if (before != null && !before.equals(version.get())) {
      parts.entrySet().removeIf(entry -> isDiscarded(entry, model));
    }
  }

  private boolean isDiscarded(Map.Entry<Key, Part> entry, ModelId model) {
    boolean isDiscarded = entry.getKey().model().equals(model);
    heldTokens -= isDiscarded ? entry.getValue().tokens() : 0;
    return isDiscarded;
  }

  /** Returns the number of tokens at the beginning of {@code prompt} that the engine holds. */
  long heldTokens(Prompt prompt) {
    long held = 0;
    for (PromptPart part : prompt.parts()) {
      // Does not count as a use of the part, unlike get.
      if (!parts.containsKey(new Key(prompt.model(), part.id()))) {
        break;
      }
      held += part.tokens();
    }
    return held;
  }

  /** Returns the tokens that running requests of this process occupy or will generate. */
  long runningTokens() {
    return runningTokens;
  }

  /**
   * Records that a request is sent, whose prompt the engine holds or reads. Prompts are read one
   * after another, so a further request with the same beginning finds it when its turn comes.
   */
  Run onStarted(Prompt prompt) {
    Run run = new Run(checkNotNull(prompt, "prompt"));
    runningTokens += prompt.outputTokens();
    for (PromptPart part : prompt.parts()) {
      Part before = parts.put(new Key(prompt.model(), part.id()), new Part(part.tokens(), run));
      heldTokens += part.tokens() - (before == null ? 0 : before.tokens());
    }
    evict();
    return run;
  }

  /**
   * Records that a request has ended, whose generated tokens occupy no memory any more.
   *
   * @param hasRun false if the engine has not read the prompt
   */
  void onEnded(Run run, boolean hasRun) {
    runningTokens -= run.prompt.outputTokens();
    if (hasRun) {
      return;
    }
    for (PromptPart part : run.prompt.parts()) {
      Key key = new Key(run.prompt.model(), part.id());
      Part held = parts.get(key);
      if (held != null && held.lastUser().equals(run)) {
        parts.remove(key);
        heldTokens -= held.tokens();
      }
    }
  }

  private void evict() {
    Iterator<Part> oldest = parts.values().iterator();
    while (heldTokens + runningTokens > memoryTokens && oldest.hasNext()) {
      heldTokens -= oldest.next().tokens();
      oldest.remove();
    }
  }
}
