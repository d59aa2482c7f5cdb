package org.amaranthstream.fleet;

import org.amaranthstream.ids.JobId;

/** Hears of the changes of a {@link Fleet}. */
public interface FleetListener {

  /** A daemon has registered. */
  default void onNodeJoined(FleetNode node) {}

  /** The registration of a daemon has ended or its process has started anew. */
  default void onNodeLost(FleetNode node) {}

  /** A job was ended by a daemon that did not reach the job's owner. */
  default void onJobEnded(JobId job) {}

  /** The holder of a leaderLease has changed. */
  default void onLeaderChanged(String leaderLease) {}

  /** The holder of a leaderLease has released it. */
  default void onLeaderLeaseReleased(String leaderLease) {}

  /** The key with which daemons prove themselves to each other is known. */
  default void onSecret(byte[] key) {}

  /** The view is up to date after the start or after an outage of the store. */
  default void onCaughtUp() {}
}
