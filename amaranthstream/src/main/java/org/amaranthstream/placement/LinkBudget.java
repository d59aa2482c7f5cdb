package org.amaranthstream.placement;

/** Budget of bytes for the link to other regions. Called on the decision thread. */
public interface LinkBudget {

  /** Returns true if {@code bytes} more may be sent now. */
  boolean allows(long bytes, long nowNanos);

  /** Subtracts bytes that were sent. */
  void spend(long bytes, long nowNanos);

  /** Returns a budget without a limit. */
  static LinkBudget unlimited() {
    return new LinkBudget() {
      @Override
      public boolean allows(long bytes, long nowNanos) {
        return true;
      }

      @Override
      public void spend(long bytes, long nowNanos) {}
    };
  }
}
