package org.amaranthstream.logs;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends.
 *
 * <p>The JDK's default manager removes the handlers as soon as the shutdown hooks start, which
 * loses the log events of a graceful shutdown. Thread safe.
 */
public final class NonResettingLogManager extends LogManager {

  /** Creates a manager. The JDK instantiates it by class name. */
  public NonResettingLogManager() {}

  /** Does nothing: handlers stay until the process ends. */
  @Override
  public void reset() {}
}
