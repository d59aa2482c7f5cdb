package org.amaranthstream.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Settings;

/**
 * The daemon of one entry VM.
 *
 * <p>{@link #drain} waits without a timeout until all requests in flight are finished; {@link
 * #close} stops immediately. Thread safe.
 *
 * <pre>{@code
 * Result<Daemon> daemon = Daemon.start(settings, PolicySet.standard());
 * }</pre>
 */
public final class Daemon implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int INCARNATION_BYTES = 6;

  private final DaemonComponents components;
  private final DaemonHttpServer http;
  private final int peerPort;
  private final AtomicBoolean closed = new AtomicBoolean();

  private Daemon(DaemonComponents components, DaemonHttpServer http, int peerPort) {
    this.components = components;
    this.http = http;
    this.peerPort = peerPort;
  }

  /**
   * Starts a daemon.
   *
   * @param settings validated settings
   * @param policies policies of the dispatcher and the rollout service
   * @return the daemon, or the reason why it cannot start; in that case all components are closed
   */
  public static Result<Daemon> start(Settings settings, PolicySet policies) {
    checkNotNull(policies, "policies");
    LocalVm self = new LocalVm(settings.vm(), newIncarnation(), settings.region(), settings.zone());
    DaemonComponents components = DaemonComponents.create(settings, self, policies);
    Result<Integer> peerPort = components.start();
    if (peerPort instanceof Result.Failure<Integer> failure) {
      components.close();
      return Result.failure(failure.error());
    }
    Result<DaemonHttpServer> http = DaemonHttpServer.start(settings, components);
    if (http instanceof Result.Failure<DaemonHttpServer> failure) {
      components.close();
      return Result.failure(failure.error());
    }
    Daemon daemon =
        new Daemon(
            components,
            ((Result.Success<DaemonHttpServer>) http).value(),
            ((Result.Success<Integer>) peerPort).value());
    logger.atInfo().log(
        "event=started role=daemon vm=%s zone=%s incarnation=%s port=%d peer_port=%d",
        self.id(), self.zone(), self.incarnation(), daemon.httpPort(), daemon.peerPort);
    return Result.success(daemon);
  }

  private static Incarnation newIncarnation() {
    byte[] bytes = new byte[INCARNATION_BYTES];
    new SecureRandom().nextBytes(bytes);
    return Incarnation.of(BaseEncoding.base16().lowerCase().encode(bytes));
  }

  /** Returns the port of the HTTP server. */
  public int httpPort() {
    return http.port();
  }

  /** Returns the port on which peers connect. */
  public int peerPort() {
    return peerPort;
  }

  /**
   * Shuts down gracefully: reports that it is not ready, accepts requests for the drain lag, so
   * that load balancers stop sending them, finishes the requests in flight, and stops. Blocks until
   * then.
   */
  public void drain() {
    Shutdown.of(components, http).run();
    close();
  }

  /** Stops immediately and aborts the requests in flight. Further calls have no effect. */
  @Override
  public void close() {
    if (closed.getAndSet(true)) {
      return;
    }
    http.close();
    components.close();
  }
}
