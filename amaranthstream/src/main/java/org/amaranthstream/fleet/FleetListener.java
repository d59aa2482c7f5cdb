package org.amaranthstream.fleet;

import org.amaranthstream.ids.JobId;

/** A listener for changes of a {@link Fleet}. */
public interface FleetListener {

  /** Called when a daemon has registered, or its registration has changed. */
  default void onNodeJoined(FleetNode node) {}

  /** Called when a registration has ended or the daemon has registered a new incarnation. */
  default void onNodeLost(FleetNode node) {}

  /** Called when another daemon has ended a job because it could not reach the owner. */
  default void onJobEnded(JobId job) {}

  /** Called when the holder of a leader lease has changed. */
  default void onLeaderChanged(String leaderLease) {}

  /** Called when the holder of a leader lease has released it. */
  default void onLeaderLeaseReleased(String leaderLease) {}

  /** Called when the shared key of the peer links has been read. */
  default void onSecret(byte[] key) {}

  /** Called when the view is up to date after the start or after an outage of the store. */
  default void onCaughtUp() {}
}
