package org.amaranthstream.fleet;

import org.amaranthstream.ids.JobId;

/** A listener for changes of a {@link Fleet}. */
public interface FleetListener {

  /** Called once after a batch of changes in which daemons have registered or were lost. */
  default void onNodesChanged(NodesChange change) {}

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
