package org.amaranthstream.logs;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class LogTextTest {
  @Property
  void anyTextIsOneValue(@ForAll String text) {
    assertThat(LogText.of(text)).matches("[A-Za-z0-9._:/+-]+|\"([ -!#-\\[\\]-~]|\\\\[\\\\\"u])*\"");
  }

  @Example
  void idsAreNotQuoted() {
    assertThat(LogText.of("servers/i-1.a:b_c")).isEqualTo("servers/i-1.a:b_c");
  }

  @Example
  void pairsAndLineBreaksAreQuoted() {
    assertThat(LogText.of("a event=\"b\"\\")).isEqualTo("\"a event=\\\"b\\\"\\\\\"");
    assertThat(LogText.of("a\nb\r")).isEqualTo("\"a\\u%04xb\\u%04x\"".formatted(10, 13));
    assertThat(LogText.of("")).isEqualTo("\"\"");
  }

  @Example
  void longTextsAreCutOff() {
    assertThat(LogText.of("x".repeat(5_000))).hasLength(205);
  }
}
