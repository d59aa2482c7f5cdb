package org.amaranthstream.config;

import org.amaranthstream.ids.ConfigGeneration;

/**
 * Tracker of the highest configuration generation that any peer has reported.
 *
 * <p>Updated on the configuration manager's duty; the getters are thread safe.
 */
final class PeerGenerationTracker {
  private volatile ConfigGeneration highest = ConfigGeneration.of(0);
  private volatile boolean waitComplete;

  PeerGenerationTracker(boolean hasPeers) {
    this.waitComplete = !hasPeers;
  }

  /** Returns the highest generation that a peer has reported, 0 if none has. */
  ConfigGeneration highest() {
    return highest;
  }

  /** Returns true once a peer has reported its generation or the wait for one has ended. */
  boolean isWaitComplete() {
    return waitComplete;
  }

  /** Records the generation that a peer reports. */
  void observe(ConfigGeneration generation) {
    waitComplete = true;
    if (generation.isAfter(highest)) {
      highest = generation;
    }
  }

  /** Ends the wait for the first report of a peer. */
  void stopWaiting() {
    waitComplete = true;
  }
}
