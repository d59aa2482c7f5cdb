package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;

import org.amaranthstream.http.CountedText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against headers of callers that block the event loop while they are checked. */
class RequestHeadCheckTest {
  private static final int LENGTH = 8_000;
  private static final int MAX_READS_PER_CHARACTER = 20;

  @ParameterizedTest
  @ValueSource(strings = {"A", "A ", "A /", "A /a ", "GET http:"})
  void readsEachCharacterFewTimes(String part) {
    CountedText value = new CountedText(part.repeat(LENGTH / part.length()));

    assertThat(RequestHeadCheck.containsRequestLine(value)).isFalse();
    assertThat(value.reads()).isLessThan((long) MAX_READS_PER_CHARACTER * value.length());
  }

  @Test
  void findsRequestLineBehindRestOfValue() {
    assertThat(RequestHeadCheck.containsRequestLine("text/plPOST /next HTTP/1.1")).isTrue();
    assertThat(RequestHeadCheck.containsRequestLine("GET http://h/ HTTP/1.0")).isTrue();
    assertThat(RequestHeadCheck.containsRequestLine("HTTP/1.1 proxy")).isFalse();
  }
}
