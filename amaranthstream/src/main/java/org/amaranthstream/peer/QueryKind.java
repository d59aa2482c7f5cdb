package org.amaranthstream.peer;

/** What an entry VM asks another; the number goes over the wire and is never reused. */
public enum QueryKind {
  /** The records of the decisions on a request. */
  EXPLAIN(1),
  /** A pull on a training step that the other entry VM owns. */
  PULL_STEP(2),
  /** What became of a request with an idempotency key. */
  OUTCOME_LOOKUP(3),
  /** The operators' configuration in force. */
  CONFIG_FETCH(4),
  /** A training step that the asking entry VM hands over. */
  STEP_HANDOFF(5),
  /** A question about a batch job that the other entry VM owns. */
  JOB(6),
  /** A call to the store that the asking entry VM cannot make itself. */
  STORE_CALL(7);

  private final int number;

  QueryKind(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
