package org.amaranthstream.prompts;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.ModelId;

/**
 * The prompt of a request as a list of parts, from the beginning. Requests share leading parts.
 *
 * @param model the model that reads the prompt
 * @param parts the parts in order
 * @param outputTokens the number of tokens that the request is expected to generate
 */
public record Prompt(ModelId model, ImmutableList<PromptPart> parts, long outputTokens) {

  /**
   * Creates a prompt.
   *
   * @throws IllegalArgumentException if {@code outputTokens} is negative
   */
  public Prompt {
    checkNotNull(model, "model");
    checkNotNull(parts, "parts");
    checkArgument(outputTokens >= 0, "outputTokens must not be negative, but was %s", outputTokens);
  }

  /** Returns the number of tokens of all parts. */
  public long tokens() {
    return parts.stream().mapToLong(PromptPart::tokens).sum();
  }
}
