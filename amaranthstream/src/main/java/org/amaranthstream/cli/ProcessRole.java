package org.amaranthstream.cli;

import java.nio.file.Path;

/**
 * A process type that an adapter adds to the binary and that {@link java.util.ServiceLoader} loads.
 *
 * <p>{@code amaranthstream NAME} starts the process. The environment variable {@link
 * #SETTINGS_VARIABLE} contains the path of its settings file.
 */
public interface ProcessRole {
  /** Name of the environment variable that contains the path of the settings file. */
  String SETTINGS_VARIABLE = "AMARANTHSTREAM_CONFIG";

  /** Returns the name of the command that starts the process. */
  String name();

  /** Runs until the process is requested to stop and returns its exit code. */
  int run(Path settingsFile);
}
