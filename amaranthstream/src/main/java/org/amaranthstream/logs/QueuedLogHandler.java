package org.amaranthstream.logs;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * A log handler that writes lines in batches on a dedicated thread, so that a slow reader of the
 * output does not block the threads that log.
 *
 * <p>Thread safe. Lines are dropped while the queue is full; the next write logs their number.
 */
public final class QueuedLogHandler extends Handler {
  private static final Duration MAX_FLUSH_WAIT = Duration.ofMillis(500);
  private static final Duration FLUSH_POLL_INTERVAL = Duration.ofMillis(1);

  private static final int MAX_LINES_PER_WRITE = 256;

  private final ArrayBlockingQueue<String> queue;
  private final PrintStream out;
  private final LongAdder droppedLines = new LongAdder();
  private final AtomicInteger unwrittenLines = new AtomicInteger();

  private QueuedLogHandler(int capacity, PrintStream out) {
    this.queue = new ArrayBlockingQueue<>(capacity);
    this.out = out;
    setFormatter(new KeyValueFormatter());
  }

  /**
   * Returns a handler whose thread is running.
   *
   * @param capacity the maximum number of queued lines
   */
  public static QueuedLogHandler start(int capacity, PrintStream out) {
    checkArgument(capacity > 0, "capacity is not positive: %s", capacity);
    QueuedLogHandler handler = new QueuedLogHandler(capacity, out);
    Thread writer = new Thread(handler::writeAll, "log");
    writer.setDaemon(true);
    writer.start();
    return handler;
  }

  /** Returns a handler that writes only when it is flushed. */
  static QueuedLogHandler withoutThread(int capacity, PrintStream out) {
    return new QueuedLogHandler(capacity, out);
  }

  @Override
  public void publish(LogRecord event) {
    if (!isLoggable(event)) {
      return;
    }
    unwrittenLines.incrementAndGet();
    if (!queue.offer(getFormatter().format(event))) {
      unwrittenLines.decrementAndGet();
      droppedLines.increment();
    }
  }

  private void writeAll() {
    try {
      while (true) {
        write(queue.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void write(String first) {
    List<String> lines = new ArrayList<>();
    lines.add(first);
    queue.drainTo(lines, MAX_LINES_PER_WRITE);
    String text = String.join("", lines) + droppedNotice();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
    unwrittenLines.addAndGet(-lines.size());
  }

  private String droppedNotice() {
    long count = droppedLines.sumThenReset();
    return count == 0 ? "" : "event=log_lines_dropped count=" + count + "\n";
  }

  /** Writes the queued lines, and waits a limited time for lines being written. */
  @Override
  public void flush() {
    for (String first = queue.poll(); first != null; first = queue.poll()) {
      write(first);
    }
    long start = System.nanoTime();
    while (unwrittenLines.get() > 0 && System.nanoTime() - start < MAX_FLUSH_WAIT.toNanos()) {
      LockSupport.parkNanos(FLUSH_POLL_INTERVAL.toNanos());
    }
  }

  @Override
  public void close() {
    flush();
  }
}
