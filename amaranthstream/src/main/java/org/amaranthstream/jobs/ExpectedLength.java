package org.amaranthstream.jobs;

/** Estimate of the length of the text that an item generates. */
final class ExpectedLength {
  private ExpectedLength() {}

  /**
   * Returns the expected number of generated tokens: the caller's estimate, or the item's bound.
   */
  static long tokens(ItemSpec item) {
    return item.expectedTokens().orElse(item.tokens());
  }
}
