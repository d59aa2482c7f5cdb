package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionHistoryTest {
  private final ConnectionHistory history = ConnectionHistory.of(1);

  @Nested
  class ResponsesThatBearAnId {
    @Test
    void areExpectedForTheLastRequestOnly() {
      history.onSent("a");
      history.onSent("b");

      assertThat(history.isExpected(Optional.of("b"))).isTrue();
      assertThat(history.isExpected(Optional.of("a"))).isFalse();
      assertThat(history.isExpected(Optional.of("c"))).isFalse();
    }

    @Test
    void areUnexpectedBeforeTheFirstRequest() {
      assertThat(history.isExpected(Optional.of("a"))).isFalse();
    }
  }

  @Nested
  class ResponsesWithoutId {
    @Test
    void areExpectedForTheOnlyRequest() {
      history.onSent("a");

      assertThat(history.isExpected(Optional.empty())).isTrue();
    }

    @Test
    void areUnexpectedAfterAnotherRequest() {
      history.onSent("a");
      history.onSent("b");

      assertThat(history.isExpected(Optional.empty())).isFalse();
    }
  }

  @Nested
  class Ids {
    @Test
    void areCarriedOnce() {
      history.onSent("a");
      history.onSent("b");

      assertThat(history.mayCarry("a")).isFalse();
      assertThat(history.mayCarry("c")).isTrue();
      assertThrows(IllegalStateException.class, () -> history.onSent("a"));
    }

    @Test
    void areBounded() {
      for (int i = 0; i < ConnectionHistory.MAX_REQUESTS; i++) {
        assertThat(history.mayCarry("r" + i)).isTrue();
        history.onSent("r" + i);
      }

      assertThat(history.mayCarry("another")).isFalse();
    }
  }

  @Nested
  class RetiredConnections {
    @Test
    void carryNoFurtherRequest() {
      history.onSent("a");
      history.retire();

      assertThat(history.mayCarry("b")).isFalse();
      assertThrows(IllegalStateException.class, () -> history.onSent("b"));
    }
  }
}
