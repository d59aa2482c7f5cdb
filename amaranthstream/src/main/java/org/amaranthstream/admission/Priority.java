package org.amaranthstream.admission;

/** Priority of a request at the backend server. */
public enum Priority {
  /** A person waits for the response. */
  INTERACTIVE(0),
  /** A trainer waits for the sample. */
  TRAINING(1);

  private final int rank;

  Priority(int rank) {
    this.rank = rank;
  }

  /** Returns the rank that is sent to backend servers; a lower rank runs first. */
  public int rank() {
    return rank;
  }
}
