package org.amaranthstream.calls;

/**
 * Decision whether the next attempt of a call goes through a peer.
 *
 * <p>Made for a VM that is partitioned from all servers while its peers reach them. A daemon that
 * has detected the loss relays at once, so that callers wait for no timeout. Before that, two
 * connections that hang, or no server that can be connected to, are reason enough. A call that
 * servers reject because they are full is not relayed, since a peer would meet the same servers.
 * The methods are pure functions.
 */
final class RelayPolicy {
  /** Bounds the work of peers while the servers are down for all daemons. */
  private static final int MAX_RELAYS = 2;

  private static final int HANGING_CONNECTIONS = 2;

  private RelayPolicy() {}

  /**
   * Returns true if the next attempt should be relayed.
   *
   * @param relays the attempts of this call that were relayed
   * @param isServiceLost true if this daemon reaches no server of the service
   * @param connecting the running attempts that still wait for a connection
   * @param notConnected the attempts that failed because no connection could be opened
   * @param hasServer true if a server is left that was not tried
   */
  static boolean shouldRelay(
      int relays, boolean isServiceLost, int connecting, int notConnected, boolean hasServer) {
    if (relays >= MAX_RELAYS) {
      return false;
    }
    boolean isUnreachable = !hasServer && connecting + notConnected > 0;
    return isServiceLost || connecting >= HANGING_CONNECTIONS || isUnreachable;
  }
}
