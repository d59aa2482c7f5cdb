package org.amaranthstream.bench.experiment;

import com.google.common.util.concurrent.Uninterruptibles;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.amaranthstream.daemon.Daemon;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Settings;
import org.amaranthstream.settings.SettingsLoader;

/** A daemon of the product with the decisions of one {@link Policy}. */
final class ExperimentDaemon {
  private static final int EXIT_NOT_STARTED = 1;

  private ExperimentDaemon() {}

  /** Runs until it is killed; the arguments are the settings file and the name of the policy. */
  public static void main(String[] args) {
    Policy policy = Policy.of(args[1]);
    Result<Settings> settings = SettingsLoader.load(Path.of(args[0]));
    if (settings instanceof Result.Failure<Settings> failure) {
      exit(failure.error().toString());
    }
    Result<Daemon> daemon =
        Daemon.start(((Result.Success<Settings>) settings).value(), policy.policies());
    if (daemon instanceof Result.Failure<Daemon> failure) {
      exit(failure.error().toString());
    }
    Uninterruptibles.awaitUninterruptibly(new CountDownLatch(1));
  }

  private static void exit(String reason) {
    System.err.println(reason);
    System.exit(EXIT_NOT_STARTED);
  }
}
