package org.amaranthstream.logs;

import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets up the process's log: one line of key=value pairs per event. */
public final class LogSetup {
  private static final int MAX_WAITING_LINES = 4_096;

  private LogSetup() {}

  /**
   * Chooses the log manager that keeps events of a shutdown; to be called before anything logs, as
   * the first thing that a process does.
   */
  public static void prepare() {
    System.setProperty("java.util.logging.manager", KeptLogManager.class.getName());
  }

  /** Replaces the handlers of the root logger; events below {@code level} are dropped. */
  public static void install(Level level, PrintStream out) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    QueuedLogHandler handler = QueuedLogHandler.start(MAX_WAITING_LINES, out);
    handler.setLevel(level);
    root.addHandler(handler);
    Runtime.getRuntime().addShutdownHook(new Thread(LogSetup::flush, "log-flush"));
    root.setLevel(level);
  }

  /** Writes the lines that wait; for the end of a process. */
  public static void flush() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }
}
