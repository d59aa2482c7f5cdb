package org.amaranthstream.rollout;

/** Characters of the finished samples of all steps. Not thread safe. */
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

  boolean isFull() {
    return chars >= maxChars;
  }

  long chars() {
    return chars;
  }
}
