package org.amaranthstream.rollout;

/**
 * Number of slots of a step that may be outstanding. It is halved when the service is overloaded,
 * and grows by one for each whole sample. Not thread safe.
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
