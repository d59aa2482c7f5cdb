package org.amaranthstream.standins.engine;

import org.amaranthstream.standins.server.Run;
import org.jspecify.annotations.Nullable;

/** State of one request in the engine. Confined to the server's event loop. */
final class Sequence {
  final GenerateRequest request;
  final String key;
  final ResponseStream stream;
  final int length;
  long position;
  long readyNanos;
  @Nullable Run run;

  Sequence(GenerateRequest request, ResponseStream stream) {
    this.request = request;
    this.key = GeneratedText.key(String.valueOf(request.prompt()), request.seed());
    this.stream = stream;
    this.length = GeneratedText.length(key, request.maxTokens());
    this.position = request.resumeOffset();
  }

  /** Returns true if the resumed text equals the output before the resume offset. */
  boolean hasMatchingResumeText() {
    String text = request.resumeText() == null ? "" : request.resumeText();
    return position <= length && text.equals(GeneratedText.tokens(key, 0, position));
  }

  String attempt() {
    return String.valueOf(request.attempt());
  }
}
