package org.amaranthstream.standins.engine;

import org.jspecify.annotations.Nullable;

/**
 * JSON body of a generate request.
 *
 * @param attempt id of the attempt, echoed on each line of the response
 * @param prompt the text to continue
 * @param maxTokens maximum number of tokens of the complete output
 * @param seed sampling seed
 * @param priority priority in the queue; lower values run first
 * @param resumeOffset number of tokens that the sender already has
 * @param resumeText text of those tokens
 */
record GenerateRequest(
    @Nullable String attempt,
    @Nullable String prompt,
    int maxTokens,
    long seed,
    int priority,
    long resumeOffset,
    @Nullable String resumeText) {

  /** Returns true if the required fields are present and in range. */
  boolean isValid() {
    return attempt != null && prompt != null && maxTokens > 0 && resumeOffset >= 0;
  }
}
