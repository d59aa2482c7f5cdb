package org.amaranthstream.dispatch.http;

import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.AttemptId;

/** Body of a generate request to a model engine. */
record GenerateBody(
    String attempt,
    String prompt,
    int maxTokens,
    long seed,
    int priority,
    long resumeOffset,
    String resumeText) {

  static GenerateBody of(
      AttemptId id, Work work, Payload.Generate generate, long offset, String prefix) {
    return new GenerateBody(
        id.value(),
        generate.prompt(),
        generate.maxTokens(),
        generate.seed(),
        work.priority().rank(),
        offset,
        prefix);
  }
}
