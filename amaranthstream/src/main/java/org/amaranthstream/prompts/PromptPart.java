package org.amaranthstream.prompts;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.PromptPartId;

/**
 * Part of a prompt.
 *
 * @param id the id, equal for all requests whose prompts share the part
 * @param tokens the number of tokens of the part
 */
public record PromptPart(PromptPartId id, long tokens) {

  /**
   * Creates a part.
   *
   * @throws IllegalArgumentException if {@code tokens} is negative
   */
  public PromptPart {
    checkNotNull(id, "id");
    checkArgument(tokens >= 0, "tokens must not be negative, but was %s", tokens);
  }
}
