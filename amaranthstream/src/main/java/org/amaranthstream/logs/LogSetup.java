package org.amaranthstream.logs;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import io.vertx.core.logging.JULLogDelegateFactory;
import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configuration of the process-wide log, with one line of key=value pairs per event. */
public final class LogSetup {
  private static final int MAX_QUEUED_LINES = 4_096;
  private static final String VERTX_LOGGING = "vertx.logger-delegate-factory-class-name";

  private LogSetup() {}

  /**
   * Selects a log manager that keeps logging during shutdown, and the JDK's logging for Vert.x and
   * Netty, which would otherwise look for other libraries. Must be called first in the process,
   * before any logger is created.
   */
  public static void prepare() {
    System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
    System.setProperty(VERTX_LOGGING, JULLogDelegateFactory.class.getName());
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
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
