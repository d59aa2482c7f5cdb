package org.amaranthstream.calls;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.servers.TrackedServer;

/** Target of an attempt: a server, or a peer that forwards the call to one. */
interface AttemptTarget {

  /** Returns the server, empty if the target is a peer. */
  Optional<TrackedServer> server();

  /** Returns the servers to one or more of which the target may send the call. */
  ImmutableList<TrackedServer> reachableServers();

  /** Returns the number of servers to which the target may send the call. */
  default int maxServers() {
    return 1;
  }

  /** Sends the call. */
  CallTransport.Attempt send(OutboundCall call, Duration timeLeft, AttemptListener listener);

  /** Records that the request is written to a connection. */
  default void onSent() {}

  /** Records that the attempt was cancelled. */
  default void onCancelled() {}

  /** Records that the head or a part of the response has arrived. */
  void onProgress();

  /** Records why the attempt has failed. */
  void onFailed(AttemptFailure failure);

  /** Records that the attempt has ended, in any way. */
  void onEnded();
}
