package org.amaranthstream.logs;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets up the process's log: one line of key=value pairs per event on the standard error. */
public final class LogSetup {
  private LogSetup() {}

  /**
   * Chooses the log manager that keeps events of a shutdown; to be called before anything logs, as
   * the first thing that a process does.
   */
  public static void prepare() {
    System.setProperty("java.util.logging.manager", KeptLogManager.class.getName());
  }

  /** Replaces the handlers of the root logger; events below {@code level} are dropped. */
  public static void install(Level level) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler console = new ConsoleHandler();
    console.setFormatter(new KeyValueFormatter());
    console.setLevel(level);
    root.addHandler(console);
    root.setLevel(level);
  }
}
