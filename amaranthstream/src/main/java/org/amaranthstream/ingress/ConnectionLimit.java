package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpConnection;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A limit on the open connections of a server, which closes each further one. Thread safe, as the
 * connections of a server may be on several event loops.
 */
public final class ConnectionLimit {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final int maxConnections;
  private final AtomicInteger openConnections = new AtomicInteger();

  private ConnectionLimit(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Creates a limit of {@code maxConnections}. */
  public static ConnectionLimit of(int maxConnections) {
    checkArgument(maxConnections > 0, "maxConnections is %s, expected > 0", maxConnections);
    return new ConnectionLimit(maxConnections);
  }

  /** Counts a connection that was just accepted; closes it and returns false beyond the limit. */
  public boolean tryAdd(HttpConnection connection) {
    if (openConnections.incrementAndGet() <= maxConnections) {
      connection.closeHandler(unused -> openConnections.decrementAndGet());
      return true;
    }
    openConnections.decrementAndGet();
    logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "event=connection_rejected open=%d", maxConnections);
    connection.close();
    return false;
  }
}
