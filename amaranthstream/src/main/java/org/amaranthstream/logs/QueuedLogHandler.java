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
 * Writes log lines on a thread of its own, several at a time, so that a slow reader of the log
 * delays nobody.
 *
 * <p>Thread safe. A line that meets a full queue is dropped; the number of such lines is logged
 * once there is room again.
 */
public final class QueuedLogHandler extends Handler {
  private static final Duration LONGEST_FLUSH = Duration.ofMillis(500);
  private static final Duration FLUSH_PAUSE = Duration.ofMillis(1);

  private final ArrayBlockingQueue<String> queue;
  private final PrintStream out;
  private final LongAdder dropped = new LongAdder();
  private final AtomicInteger unwritten = new AtomicInteger();

  private QueuedLogHandler(int capacity, PrintStream out) {
    this.queue = new ArrayBlockingQueue<>(capacity);
    this.out = out;
    setFormatter(new KeyValueFormatter());
  }

  /**
   * Returns a handler whose thread is running.
   *
   * @param capacity the number of lines that may wait
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
    unwritten.incrementAndGet();
    if (!queue.offer(getFormatter().format(event))) {
      unwritten.decrementAndGet();
      dropped.increment();
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
    queue.drainTo(lines);
    String text = String.join("", lines) + droppedNotice();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
    unwritten.addAndGet(-lines.size());
  }

  private String droppedNotice() {
    long lost = dropped.sumThenReset();
    return lost == 0 ? "" : "event=log_lines_dropped count=" + lost + "\n";
  }

  /** Writes what waits, and waits a while for lines that the thread is just writing. */
  @Override
  public void flush() {
    String first = queue.poll();
    if (first != null) {
      write(first);
    }
    long start = System.nanoTime();
    while (unwritten.get() > 0 && System.nanoTime() - start < LONGEST_FLUSH.toNanos()) {
      LockSupport.parkNanos(FLUSH_PAUSE.toNanos());
    }
  }

  @Override
  public void close() {
    flush();
  }
}
