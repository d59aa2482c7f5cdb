package org.amaranthstream.logs;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class QueuedLogHandlerTest {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final QueuedLogHandler handler =
      QueuedLogHandler.withoutThread(3, new PrintStream(bytes, true, UTF_8));

  private void log(int events) {
    for (int i = 0; i < events; i++) {
      handler.publish(new LogRecord(Level.INFO, "event=e" + i));
    }
  }

  private String written() {
    handler.flush();
    return bytes.toString(UTF_8);
  }

  @Test
  void writesLinesInOrder() {
    log(2);

    assertThat(written()).containsMatch("(?s)event=e0\n.*event=e1\n$");
  }

  @Test
  void dropsLinesWhenQueueIsFullAndLogsTheirNumber() {
    log(5);

    String text = written();
    assertThat(text).contains("event=e2");
    assertThat(text).doesNotContain("event=e3");
    assertThat(text).contains("event=log_lines_dropped count=2");
  }

  @Test
  void acceptsLinesAgainAfterFlush() {
    log(5);
    handler.flush();
    log(1);

    assertThat(written()).endsWith("event=e0\n");
  }

  @Test
  void flushWritesAllLinesOfLongQueue() {
    QueuedLogHandler longQueue =
        QueuedLogHandler.withoutThread(2_000, new PrintStream(bytes, true, UTF_8));
    for (int i = 0; i < 2_000; i++) {
      longQueue.publish(new LogRecord(Level.INFO, "event=e" + i));
    }
    longQueue.flush();

    assertThat(bytes.toString(UTF_8).lines().count()).isEqualTo(2_000);
  }

  @Test
  void flushWaitsForLinesBeingWritten() {
    for (int i = 0; i < 200; i++) {
      ByteArrayOutputStream written = new ByteArrayOutputStream();
      QueuedLogHandler threaded = QueuedLogHandler.start(8, new PrintStream(written, true, UTF_8));
      threaded.publish(new LogRecord(Level.INFO, "event=last"));
      threaded.flush();

      assertThat(written.toString(UTF_8)).endsWith("event=last\n");
    }
  }
}
