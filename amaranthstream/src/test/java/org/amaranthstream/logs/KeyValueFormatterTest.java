package org.amaranthstream.logs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KeyValueFormatterTest {
  private final KeyValueFormatter formatter = new KeyValueFormatter();

  @Nested
  class Format {
    @Test
    void writesTimeLevelAndLoggerBeforeMessage() {
      assertThat(formatter.format(event("event=started port=1")))
          .isEqualTo("time=2026-01-02T03:04:05Z level=WARN logger=Daemon event=started port=1\n");
    }

    @Test
    void escapesLineBreaksOfMessage() {
      String line = formatter.format(event("event=x reason=\"a\nb\""));
      assertThat(line).endsWith("event=x reason=\"a\\nb\"\n");
    }

    /** Guards against a queue of lines that quote what clients send. */
    @Test
    void cutsLongMessage() {
      String line = formatter.format(event("event=x uri=" + "x".repeat(100_000)));
      assertThat(line.length()).isLessThan(10_000);
      assertThat(line).endsWith("...\n");
    }

    @Test
    void writesCauseOnSameLine() {
      LogRecord event = event("event=x");
      event.setThrown(new IllegalStateException("broken \"badly\""));
      String line = formatter.format(event);
      assertThat(line).contains(" cause=\"java.lang.IllegalStateException: broken 'badly'");
      assertThat(line.indexOf('\n')).isEqualTo(line.length() - 1);
    }
  }

  private static LogRecord event(String message) {
    LogRecord event = new LogRecord(Level.WARNING, message);
    event.setLoggerName("org.amaranthstream.daemon.Daemon");
    event.setInstant(Instant.parse("2026-01-02T03:04:05Z"));
    return event;
  }
}
