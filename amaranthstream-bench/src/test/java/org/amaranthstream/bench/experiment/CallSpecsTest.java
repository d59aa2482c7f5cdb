package org.amaranthstream.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.util.UUID;
import org.amaranthstream.standins.engine.GeneratedText;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CallSpecsTest {

  @Nested
  final class Lookups {
    private final CallSpec lookups = CallSpecs.lookups("run");

    @Test
    void acceptTheCompleteResponseToTheirPrompt() {
      assertThat(lookups.validator().countTokens(7, responseTo(7))).isGreaterThan(0);
    }

    @Test
    void rejectResponsesToOtherCallsAndIncompleteResponses() {
      assertThat(lookups.validator().countTokens(7, responseTo(8))).isEqualTo(-1);
      assertThat(lookups.validator().countTokens(7, "{\"text\": \"\", \"tokens\": 0}"))
          .isEqualTo(-1);
      assertThat(lookups.validator().countTokens(7, "not JSON")).isEqualTo(-1);
    }

    private String responseTo(long call) {
      String prompt = "code the product run-" + call;
      String key = GeneratedText.key(prompt, prompt.hashCode());
      int tokens = GeneratedText.length(key, Workload.LOOKUP_MAX_TOKENS);
      return "{\"text\": \"%s\", \"tokens\": %d}"
          .formatted(GeneratedText.tokens(key, 0, tokens), tokens);
    }
  }

  @Nested
  final class Orders {
    private final CallSpec orders = CallSpecs.orders("run", 1);

    @Test
    void haveDistinctTimeOrderedKeys() {
      UUID first = UUID.fromString(orders.key().create(1).orElseThrow());
      UUID second = UUID.fromString(orders.key().create(2).orElseThrow());
      assertThat(first).isNotEqualTo(second);
      assertThat(first.version()).isEqualTo(7);
      assertThat(first.variant()).isEqualTo(2);
    }

    @Test
    void acceptOnlyTheDigestOfTheirBody() {
      String own = CallSpecs.digest(CallSpecs.orderBody("run", 3));
      assertThat(orders.validator().countTokens(3, own)).isEqualTo(0);
      assertThat(orders.validator().countTokens(4, own)).isEqualTo(-1);
    }
  }
}
