package org.amaranthstream.calls;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.servers.TrackedServer;

/** Peer through which an attempt is sent. Must be used on one thread. */
final class PeerTarget implements AttemptTarget {
  private final CallRelay relay;
  private final int maxServers;
  private final ImmutableList<TrackedServer> servers;
  private final boolean isOwed;

  /**
   * Creates a target.
   *
   * @param maxServers the number of servers to which the peer may send the call
   * @param servers the servers among which the peer chooses, at least one
   */
  PeerTarget(
      CallRelay relay, int maxServers, ImmutableList<TrackedServer> servers, boolean isOwed) {
    checkArgument(!servers.isEmpty(), "a peer needs a server");
    this.relay = relay;
    this.maxServers = maxServers;
    this.servers = servers;
    this.isOwed = isOwed;
  }

  @Override
  public Optional<TrackedServer> server() {
    return Optional.empty();
  }

  @Override
  public ImmutableList<TrackedServer> reachableServers() {
    return servers;
  }

  @Override
  public int maxServers() {
    return maxServers;
  }

  @Override
  public CallTransport.Attempt send(
      OutboundCall call, Duration timeLeft, AttemptListener listener) {
    ImmutableSet<BackendServerId> permitted =
        servers.stream().map(TrackedServer::id).collect(ImmutableSet.toImmutableSet());
    return relay.send(new RelayedCall(call, maxServers, isOwed, permitted), timeLeft, listener);
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
