package org.amaranthstream.settings;

/** Keys of the {@code timing} section of the settings, all in milliseconds. */
public enum TimingKey {
  /** Interval between two heartbeats to a peer. */
  HEARTBEAT_INTERVAL("heartbeatIntervalMs", 1_000, 20, 60_000),
  /** Time without a heartbeat after which a peer is suspected to be unreachable. */
  SUSPECT_TIMEOUT("suspectTimeoutMs", 4_000, 50, 300_000),
  /** Interval at which the platform's VM list is polled. */
  VM_LIST_POLL_INTERVAL("vmListPollIntervalMs", 2_000, 50, 60_000),
  /** Interval at which the load of a backend server is polled. */
  LOAD_POLL_INTERVAL("loadPollIntervalMs", 500, 20, 60_000),
  /**
   * Time for which a stopping process still accepts requests, as load balancers still send some.
   */
  DRAIN_LAG("drainLagMs", 3_000, 0, 120_000),
  /**
   * Time without progress on an open connection after which the server is probed over a new one.
   */
  SILENT_CONNECTION_TIMEOUT("silentConnectionTimeoutMs", 2_000, 50, 60_000),
  /** Time after which a shutdown with requests still in flight is logged as late. */
  SHUTDOWN_TIMEOUT("shutdownTimeoutMs", 900_000, 100, 3_600_000),
  /** Timeout of a call to the platform. */
  PLATFORM_TIMEOUT("platformTimeoutMs", 2_000, 50, 60_000),
  /** Time for which one long poll of the configuration waits at the platform. */
  CONFIG_WATCH_WAIT("configWatchWaitMs", 10_000, 50, 60_000),
  /** Interval between two reads of the configuration that do not use the watch. */
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

  /** Returns the name of the key in the YAML file. */
  public String key() {
    return key;
  }

  /** Returns the value that applies if the key is missing, in milliseconds. */
  public int defaultMillis() {
    return defaultMillis;
  }

  /** Returns the minimum value, inclusive, in milliseconds. */
  public int minMillis() {
    return minMillis;
  }

  /** Returns the maximum value, inclusive, in milliseconds. */
  public int maxMillis() {
    return maxMillis;
  }
}
