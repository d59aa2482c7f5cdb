package org.amaranthstream.logs;

import java.util.logging.LogManager;

/**
 * A log manager that ignores resets and keeps its handlers until the process ends.
 *
 * <p>The JDK's default manager removes the handlers as soon as the shutdown hooks start, which
 * loses the log events of a graceful shutdown. Thread safe.
 */
public final class NonResettingLogManager extends LogManager {

  /** Creates a manager. The JDK instantiates it by class name. */
  public NonResettingLogManager() {}

  /** Does nothing, so that the handlers stay in place. */
  @Override
  public void reset() {}
}
