package org.amaranthstream.logs;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends.
 *
 * <p>The platform's own manager removes them as soon as a shutdown begins, which loses the events
 * of a graceful shutdown. Thread safe.
 */
public final class KeptLogManager extends LogManager {

  /** Creates a manager; the Java platform does so by the class's name. */
  public KeptLogManager() {}

  /** Does nothing: handlers stay until the process ends. */
  @Override
  public void reset() {}
}
