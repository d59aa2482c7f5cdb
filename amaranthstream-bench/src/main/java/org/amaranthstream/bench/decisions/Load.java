package org.amaranthstream.bench.decisions;

/**
 * The requests of a run.
 *
 * @param interactive interactive work relative to the share of the capacity that training leaves
 * @param training training work relative to the whole capacity
 * @param poison true if a poison request is sent each second
 */
record Load(double interactive, double training, boolean poison) {
  static final double TRAINING_SHARE = 0.3;

  static Load of(double interactive) {
    return new Load(interactive, TRAINING_SHARE, false);
  }

  Load withPoison() {
    return new Load(interactive, training, true);
  }
}
