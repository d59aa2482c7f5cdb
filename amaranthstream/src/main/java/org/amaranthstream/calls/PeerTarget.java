package org.amaranthstream.calls;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.servers.TrackedServer;

/** Peer through which an attempt is sent. Must be used on one thread. */
final class PeerTarget implements AttemptTarget {
  private final CallRelay relay;
  private final int maxServers;
  private final boolean isOwed;

  /**
   * Creates a target.
   *
   * @param maxServers the number of servers to which the peer may send the call
   */
  PeerTarget(CallRelay relay, int maxServers, boolean isOwed) {
    this.relay = relay;
    this.maxServers = maxServers;
    this.isOwed = isOwed;
  }

  @Override
  public Optional<TrackedServer> server() {
    return Optional.empty();
  }

  @Override
  public int maxServers() {
    return maxServers;
  }

  @Override
  public CallTransport.Attempt send(
      OutboundCall call, Duration timeLeft, AttemptListener listener) {
    return relay.send(new RelayedCall(call, maxServers, isOwed), timeLeft, listener);
  }

  @Override
  public void onProgress() {}

  @Override
  public void onFailed(AttemptFailure failure) {}

  @Override
  public void onEnded() {}

  @Override
  public String toString() {
    return "peer";
  }
}
