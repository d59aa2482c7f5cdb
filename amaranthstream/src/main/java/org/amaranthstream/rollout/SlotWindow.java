package org.amaranthstream.rollout;

/**
 * The limit of the running slots of a step, adjusted by additive increase and multiplicative
 * decrease: one slot more for each complete sample, and half on an overload. Not thread safe.
 */
final class SlotWindow {
  private final int max;
  private int size;

  SlotWindow(int max) {
    this.max = max;
    this.size = max;
  }

  int size() {
    return size;
  }

  void onSampleComplete() {
    size = Math.min(max, size + 1);
  }

  void onOverload() {
    size = Math.max(1, size / 2);
  }
}
