package org.amaranthstream.config;

import org.amaranthstream.ids.ConfigGeneration;

/** The highest generation that any peer has named. Runs on the keeper's duty; reads are safe. */
final class PeerGenerationTracker {
  private volatile ConfigGeneration highest = ConfigGeneration.of(0);
  private volatile boolean heard;

  PeerGenerationTracker(boolean hasPeers) {
    this.heard = !hasPeers;
  }

  /** Returns the highest generation that a peer has named. */
  ConfigGeneration highest() {
    return highest;
  }

  /** Returns true once a peer has named its generation, or none is awaited any longer. */
  boolean isHeard() {
    return heard;
  }

  void observe(ConfigGeneration generation) {
    heard = true;
    if (generation.isAfter(highest)) {
      highest = generation;
    }
  }

  void stopWaiting() {
    heard = true;
  }
}
