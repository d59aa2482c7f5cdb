package org.amaranthstream.daemon;

import com.google.common.util.concurrent.Uninterruptibles;
import java.util.concurrent.CountDownLatch;
import org.amaranthstream.logs.LogSetup;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Settings;

/**
 * The process of a daemon. It runs until it receives a termination signal and then shuts down
 * gracefully. A second signal does not shorten the shutdown.
 */
public final class DaemonProcess {
  private DaemonProcess() {}

  /**
   * Starts a daemon, which logs its ports, and blocks until the process exits.
   *
   * @return the reason why the daemon cannot start; does not return otherwise
   */
  public static ErrorDetail run(Settings settings, PolicySet policies) {
    Result<Daemon> started = Daemon.start(settings, policies);
    if (started instanceof Result.Failure<Daemon> failure) {
      return failure.error();
    }
    Daemon daemon = ((Result.Success<Daemon>) started).value();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
    Uninterruptibles.awaitUninterruptibly(new CountDownLatch(1));
    throw new AssertionError("unreachable");
  }

  /** Drains the daemon, then flushes the log, because the process exits after this hook. */
  private static void shutDown(Daemon daemon) {
    daemon.drain();
    LogSetup.flush();
  }
}
