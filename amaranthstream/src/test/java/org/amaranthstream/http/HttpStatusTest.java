package org.amaranthstream.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpStatusTest {
  @ParameterizedTest
  @ValueSource(ints = {200, 204, 404, 500, 599})
  void holdsStatusesOfFinalResponses(int code) {
    assertThat(HttpStatus.of(code).code()).isEqualTo(code);
  }

  /** Guards against responses with the status 000, which other systems passed on. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 20, 99, 100, 199, 600, 999, 2000})
  void holdsNoOtherNumber(int code) {
    assertThrows(IllegalArgumentException.class, () -> HttpStatus.of(code));
  }

  @Test
  void knowsItsClass() {
    assertThat(HttpStatus.of(299).isSuccess()).isTrue();
    assertThat(HttpStatus.of(300).isSuccess()).isFalse();
    assertThat(HttpStatus.of(499).isServerError()).isFalse();
    assertThat(HttpStatus.of(500).isServerError()).isTrue();
  }
}
