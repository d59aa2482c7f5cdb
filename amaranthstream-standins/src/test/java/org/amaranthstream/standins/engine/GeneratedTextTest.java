package org.amaranthstream.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class GeneratedTextTest {
  private static final int MAX_TOKENS = 64;

  @Test
  void isCompleteRejectsTextsWithGaps() {
    String key = GeneratedText.key("prompt", 3);
    int length = GeneratedText.length(key, MAX_TOKENS);
    String complete = GeneratedText.tokens(key, 0, length);
    String withGap = GeneratedText.tokens(key, 0, 1) + GeneratedText.tokens(key, 2, length - 2);
    assertThat(GeneratedText.isComplete(complete, length, MAX_TOKENS)).isTrue();
    assertThat(GeneratedText.isComplete(withGap, length - 1, MAX_TOKENS)).isFalse();
    assertThat(GeneratedText.isComplete(withGap, length, MAX_TOKENS)).isFalse();
  }

  @Test
  void lengthDependsOnTheSeedAndHasLongTail() {
    int longest = 0;
    int shorterThanHalf = 0;
    for (int seed = 0; seed < 1000; seed++) {
      int length = GeneratedText.length(GeneratedText.key("prompt", seed), MAX_TOKENS);
      longest = Math.max(longest, length);
      shorterThanHalf += length < MAX_TOKENS / 2 ? 1 : 0;
    }
    assertThat(longest).isEqualTo(MAX_TOKENS);
    assertThat(shorterThanHalf).isGreaterThan(700);
  }
}
