package org.amaranthstream.logs;

import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configuration of the process-wide log, with one line of key=value pairs per event. */
public final class LogSetup {
  private static final int MAX_QUEUED_LINES = 4_096;

  private LogSetup() {}

  /**
   * Selects a log manager that keeps logging during shutdown. Must be called first in the process,
   * before any logger is created.
   */
  public static void prepare() {
    System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
  }

  /**
   * Replaces the handlers of the root logger by one that writes to {@code out}, and flushes it at
   * shutdown. Events below {@code level} are discarded.
   */
  public static void install(Level level, PrintStream out) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    QueuedLogHandler handler = QueuedLogHandler.start(MAX_QUEUED_LINES, out);
    handler.setLevel(level);
    root.addHandler(handler);
    Runtime.getRuntime().addShutdownHook(new Thread(LogSetup::flush, "log-flush"));
    root.setLevel(level);
  }

  /** Writes the queued lines, for use before the process exits. */
  public static void flush() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }
}
