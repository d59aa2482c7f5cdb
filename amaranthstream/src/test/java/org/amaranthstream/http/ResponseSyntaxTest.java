package org.amaranthstream.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against lines of servers that block the event loop while they are matched. */
class ResponseSyntaxTest {
  private static final int LENGTH = 16_000;
  private static final int MAX_READS_PER_CHARACTER = 10;

  @ParameterizedTest
  @ValueSource(strings = {" ", "\t ", "a", ": ", "HTTP/1.1 "})
  void readsEachCharacterOfMalformedFieldFewTimes(String part) {
    CountedText line = new CountedText("a:" + part.repeat(LENGTH / part.length()) + "\n");

    assertThrows(MalformedResponseException.class, () -> ResponseSyntax.field(line));
    assertThat(line.reads()).isLessThan((long) MAX_READS_PER_CHARACTER * line.length());
  }

  @ParameterizedTest
  @ValueSource(strings = {" ", "a", "HTTP/1.1 "})
  void readsEachCharacterOfMalformedStatusLineFewTimes(String part) {
    CountedText line =
        new CountedText("HTTP/1.1 200 " + part.repeat(LENGTH / part.length()) + "\n");

    assertThrows(MalformedResponseException.class, () -> ResponseSyntax.status(line));
    assertThat(line.reads()).isLessThan((long) MAX_READS_PER_CHARACTER * line.length());
  }
}
