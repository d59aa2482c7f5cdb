package org.amaranthstream.bench.experiment;

import java.nio.file.Path;
import java.util.logging.Level;
import org.amaranthstream.daemon.DaemonProcess;
import org.amaranthstream.logs.LogSetup;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Settings;
import org.amaranthstream.settings.SettingsLoader;

/** Main class of a daemon that uses the policies of one {@link Policy}. */
final class ExperimentDaemon {
  private static final int EXIT_NOT_STARTED = 1;

  private ExperimentDaemon() {}

  /** Runs a daemon until it is stopped. Takes the settings file and the name of the policy. */
  public static void main(String[] args) {
    LogSetup.prepare();
    LogSetup.install(Level.INFO, System.out);
    Policy policy = Policy.of(args[1]);
    Result<Settings> settings = SettingsLoader.load(Path.of(args[0]));
    ErrorDetail error =
        settings instanceof Result.Success<Settings> success
            ? DaemonProcess.run(success.value(), policy.policySet())
            : ((Result.Failure<Settings>) settings).error();
    System.err.println(error);
    System.exit(EXIT_NOT_STARTED);
  }
}
