package org.amaranthstream.bench.decisions;

/**
 * Offered load of a run.
 *
 * @param interactive interactive work relative to the capacity that training leaves free
 * @param training training work relative to the whole capacity
 * @param poison true if one poison request is sent per second
 */
record Load(double interactive, double training, boolean poison) {
  static final double TRAINING_SHARE = 0.3;

  /** Returns a load with {@link #TRAINING_SHARE} of training and no poison requests. */
  static Load of(double interactive) {
    return new Load(interactive, TRAINING_SHARE, false);
  }

  Load withPoison() {
    return new Load(interactive, training, true);
  }
}
