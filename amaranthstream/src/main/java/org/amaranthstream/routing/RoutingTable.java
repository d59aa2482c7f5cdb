package org.amaranthstream.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;

/**
 * Holder of the current configuration, whose version never decreases within a process.
 *
 * <p>One thread may write; any thread may read.
 */
public final class RoutingTable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private volatile @Nullable RoutingConfig current;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

  private RoutingTable() {}

  /** Returns a table without a configuration. */
  public static RoutingTable create() {
    return new RoutingTable();
  }

  /** Returns the current configuration, empty until the first one is applied. */
  public Optional<RoutingConfig> current() {
    return Optional.ofNullable(current);
  }

  /** Adds a listener that is called on the writing thread after a configuration was applied. */
  public void addListener(Runnable listener) {
    listeners.add(checkNotNull(listener, "listener"));
  }

  /**
   * Applies {@code config} if it is newer than the current configuration.
   *
   * @return true if it was applied
   */
  public boolean apply(RoutingConfig config) {
    RoutingConfig previous = current;
    if (previous != null && config.version() <= previous.version()) {
      logger.atFine().log(
          "event=config_ignored version=%d in_force=%d", config.version(), previous.version());
      return false;
    }
    current = config;
    logger.atInfo().log(
        "event=config_applied version=%d routes=%d services=%d workspaces=%d",
        config.version(),
        config.routeCount(),
        config.services().size(),
        config.workspaces().size());
    if (!config.workspaces().sharingKeys().isEmpty()) {
      logger.atWarning().log(
          "event=workspace_keys_ambiguous version=%d workspaces=%s",
          config.version(), config.workspaces().sharingKeys());
    }
    listeners.forEach(Runnable::run);
    return true;
  }
}
