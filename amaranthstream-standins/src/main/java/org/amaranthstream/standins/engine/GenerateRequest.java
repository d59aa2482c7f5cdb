package org.amaranthstream.standins.engine;

import org.jspecify.annotations.Nullable;

/**
 * Body of a request to generate.
 *
 * @param attempt the attempt's id, echoed on each line
 * @param prompt the text to continue
 * @param maxTokens greatest number of tokens of the whole answer
 * @param seed seed of the sampling
 * @param priority 0 goes before 1
 * @param resumeOffset number of tokens that the caller already has
 * @param resumeText the text of those tokens
 */
record GenerateRequest(
    @Nullable String attempt,
    @Nullable String prompt,
    int maxTokens,
    long seed,
    int priority,
    long resumeOffset,
    @Nullable String resumeText) {

  boolean isValid() {
    return attempt != null && prompt != null && maxTokens > 0 && resumeOffset >= 0;
  }
}
