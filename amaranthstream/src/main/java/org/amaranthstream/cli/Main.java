package org.amaranthstream.cli;

import java.nio.file.Path;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.logging.Level;
import org.amaranthstream.logs.LogSetup;

/** Entry point of the amaranthstream binary. */
public final class Main {
  private Main() {}

  /**
   * Runs a process role or a command and exits with its exit code. A first argument that is the
   * name of a {@link ProcessRole} starts this role.
   */
  public static void main(String[] args) {
    LogSetup.prepare();
    Optional<ProcessRole> role = args.length == 0 ? Optional.empty() : findRole(args[0]);
    System.exit(role.isPresent() ? run(role.get()) : runCommand(args));
  }

  private static Optional<ProcessRole> findRole(String name) {
    for (ProcessRole role : ServiceLoader.load(ProcessRole.class)) {
      if (role.name().equals(name)) {
        return Optional.of(role);
      }
    }
    return Optional.empty();
  }

  private static int run(ProcessRole role) {
    LogSetup.install(Level.INFO, System.out);
    String settings = System.getenv(ProcessRole.SETTINGS_VARIABLE);
    if (settings == null) {
      System.err.printf("environment variable %s is not set%n", ProcessRole.SETTINGS_VARIABLE);
      return ExitCode.USAGE.status();
    }
    return role.run(Path.of(settings));
  }

  private static int runCommand(String... args) {
    return CommandLine.run(new Terminal(System.out, System.err), args).status();
  }
}
