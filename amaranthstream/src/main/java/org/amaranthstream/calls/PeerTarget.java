package org.amaranthstream.calls;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.servers.TrackedServer;

/** Peer through which an attempt is sent. Must be used on one thread. */
final class PeerTarget implements AttemptTarget {
  private final CallRelay relay;
  private final int maxAttempts;
  private final boolean isOwed;

  /**
   * Creates a target.
   *
   * @param maxAttempts the number of servers to which the peer may send the call
   */
  PeerTarget(CallRelay relay, int maxAttempts, boolean isOwed) {
    this.relay = relay;
    this.maxAttempts = maxAttempts;
    this.isOwed = isOwed;
  }

  @Override
  public Optional<TrackedServer> server() {
    return Optional.empty();
  }

  @Override
  public CallTransport.Attempt send(
      OutboundCall call, Duration timeLeft, AttemptListener listener) {
    return relay.send(new RelayedCall(call, maxAttempts, isOwed), timeLeft, listener);
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
