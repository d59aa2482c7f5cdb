package org.amaranthstream.ids;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestIdTest {
  private static final RequestId ID =
      RequestId.of(EntryVmId.of("lisboa-a-1"), Incarnation.of("9f3c"), 42);

  @Nested
  class Parse {
    @Test
    void returnsTheIdOfItsTextForm() {
      assertThat(RequestId.parse(ID.toString())).isEqualTo(ID);
    }

    @Test
    void rejectsTextWithoutAnIncarnation() {
      assertThrows(IllegalArgumentException.class, () -> RequestId.parse("lisboa-a-1/42"));
    }

    @Test
    void rejectsNonNumericSequence() {
      assertThrows(IllegalArgumentException.class, () -> RequestId.parse("lisboa-a-1/9f3c/x"));
    }
  }
}
