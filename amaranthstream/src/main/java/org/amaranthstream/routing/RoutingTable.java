package org.amaranthstream.routing;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The configuration in force. Its version never goes back within a process.
 *
 * <p>Writes come on one thread; reads may come on any.
 */
public final class RoutingTable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private volatile @Nullable RoutingConfig current;

  private RoutingTable() {}

  /** Returns a table without a configuration. */
  public static RoutingTable create() {
    return new RoutingTable();
  }

  /** Returns the configuration in force, empty until the first is known. */
  public Optional<RoutingConfig> current() {
    return Optional.ofNullable(current);
  }

  /** Puts {@code config} in force unless a newer one is; returns whether it did. */
  public boolean apply(RoutingConfig config) {
    RoutingConfig before = current;
    if (before != null && config.version() <= before.version()) {
      logger.atFine().log(
          "event=config_ignored version=%d in_force=%d", config.version(), before.version());
      return false;
    }
    current = config;
    logger.atInfo().log(
        "event=config_applied version=%d routes=%d services=%d",
        config.version(), config.routeCount(), config.services().size());
    return true;
  }
}
