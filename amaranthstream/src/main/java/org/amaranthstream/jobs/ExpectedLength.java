package org.amaranthstream.jobs;

/** Estimates how much text an item will generate. */
final class ExpectedLength {
  private ExpectedLength() {}

  /** Returns the expected number of generated tokens: the caller's estimate or else the bound. */
  static long tokens(ItemSpec item) {
    return item.expectedTokens().orElse(item.tokens());
  }
}
