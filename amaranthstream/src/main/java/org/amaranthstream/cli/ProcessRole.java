package org.amaranthstream.cli;

import java.nio.file.Path;

/**
 * A process that an adapter adds to the binary; found by the service loader.
 *
 * <p>It is started by {@code amaranthstream NAME} and finds its settings where the environment
 * variable {@link #SETTINGS_VARIABLE} says.
 */
public interface ProcessRole {
  /** The environment variable with the path of the settings file. */
  String SETTINGS_VARIABLE = "AMARANTHSTREAM_CONFIG";

  /** Returns the command that starts the process. */
  String name();

  /** Runs until the process is asked to stop; returns its exit code. */
  int run(Path settingsFile);
}
