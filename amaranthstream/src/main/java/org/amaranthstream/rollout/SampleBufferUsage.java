package org.amaranthstream.rollout;

/** The number of characters of the ready samples of all steps. Not thread safe. */
final class SampleBufferUsage {
  private final long maxChars;
  private long chars;

  SampleBufferUsage(long maxChars) {
    this.maxChars = maxChars;
  }

  void add(Sample sample) {
    chars += sample.text().length();
  }

  void remove(Sample sample) {
    chars -= sample.text().length();
  }

  /** Returns true if the limit is reached. */
  boolean isFull() {
    return chars >= maxChars;
  }

  long chars() {
    return chars;
  }
}
