package org.amaranthstream.prompts;

import java.util.Map;
import java.util.Optional;

/** Reader of the prompts that requests describe in their headers. */
@FunctionalInterface
public interface PromptReader {
  /** A reader that reads no prompt. */
  PromptReader NONE = headers -> Optional.empty();

  /** Returns the prompt of a request, empty if its headers do not describe one. */
  Optional<Prompt> read(Iterable<Map.Entry<String, String>> headers);
}
