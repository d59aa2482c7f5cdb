package org.amaranthstream.calls;

import java.time.Duration;

/**
 * Relay of calls through other daemons, for a daemon that does not reach the backend servers
 * itself. Must be used on the thread of the daemon's timers.
 */
public interface CallRelay {

  /** Relay of a daemon without peers. */
  CallRelay NONE =
      new CallRelay() {
        @Override
        public boolean isAvailable() {
          return false;
        }

        @Override
        public CallTransport.Attempt send(
            RelayedCall call, Duration timeLeft, AttemptListener listener) {
          throw new IllegalStateException("no peer is available");
        }
      };

  /** Returns true if a peer is available that may reach the servers. */
  boolean isAvailable();

  /**
   * Sends a call to a peer, which forwards it to a server and never relays it again.
   *
   * @throws IllegalStateException if no peer is available
   */
  CallTransport.Attempt send(RelayedCall call, Duration timeLeft, AttemptListener listener);
}
