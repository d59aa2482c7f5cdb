package org.amaranthstream.settings;

/** The keys under {@code timing}, all in milliseconds. */
public enum TimingKey {
  /** Time between two heartbeats to a peer. */
  HEARTBEAT_INTERVAL("heartbeatIntervalMs", 1_000, 20, 60_000),
  /** Time without a heartbeat after which a peer is suspected. */
  SUSPECT_TIMEOUT("suspectTimeoutMs", 4_000, 50, 300_000),
  /** Time between two readings of the platform's VM list. */
  VM_LIST_POLL_INTERVAL("vmListPollIntervalMs", 2_000, 50, 60_000),
  /** Time between two load reports of a backend server. */
  LOAD_POLL_INTERVAL("loadPollIntervalMs", 500, 20, 60_000),
  /** Time for which a stopping process goes on accepting, while balancers still send to it. */
  DRAIN_LAG("drainLagMs", 3_000, 0, 120_000),
  /** Time without progress after which an open connection is compared with a fresh one. */
  SILENT_CONNECTION_TIMEOUT("silentConnectionTimeoutMs", 2_000, 50, 60_000),
  /** Time after which a shutdown that still has requests in flight is reported as late. */
  SHUTDOWN_TIMEOUT("shutdownTimeoutMs", 900_000, 100, 3_600_000),
  /** Time after which a call to the platform counts as lost. */
  PLATFORM_TIMEOUT("platformTimeoutMs", 2_000, 50, 60_000),
  /** Time that one watch of the configuration waits at the platform. */
  CONFIG_WATCH_WAIT("configWatchWaitMs", 10_000, 50, 60_000),
  /** Time between two plain readings of the configuration, beside the watch. */
  CONFIG_POLL_INTERVAL("configPollIntervalMs", 30_000, 50, 600_000);

  private final String key;
  private final int defaultMillis;
  private final int minMillis;
  private final int maxMillis;

  TimingKey(String key, int defaultMillis, int minMillis, int maxMillis) {
    this.key = key;
    this.defaultMillis = defaultMillis;
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
  }

  /** Returns the key in the YAML file. */
  public String key() {
    return key;
  }

  /** Returns the time that holds if the key is missing, in milliseconds. */
  public int defaultMillis() {
    return defaultMillis;
  }

  /** Returns the least time, in milliseconds. */
  public int minMillis() {
    return minMillis;
  }

  /** Returns the greatest time, in milliseconds. */
  public int maxMillis() {
    return maxMillis;
  }
}
