package org.amaranthstream.peer;

/** Kind of a query between entry VMs. The number is sent in messages and is never reused. */
public enum QueryKind {
  /** Returns the records of the decisions about a request. */
  EXPLAIN(1),
  /** Pulls samples of a training step that the other entry VM owns. */
  PULL_STEP(2),
  /** Returns the outcome of a request with an idempotency key. */
  OUTCOME_LOOKUP(3),
  /** Returns the active configuration of the operators. */
  CONFIG_FETCH(4),
  /** Hands off a training step of the sender to the other entry VM. */
  STEP_HANDOFF(5),
  /** Queries or changes a batch job that the other entry VM owns. */
  JOB(6),
  /** Relays a call to the store, which the sender cannot reach. */
  STORE_CALL(7),

  /** Waits for changes of the store that the other entry VM watches for its zone. */
  WATCH(8),

  /** Asks for a permit for one request to a rate-limited backend server. */
  PERMIT(9),

  /** Stores the software versions of the servers that began streams at the sender. */
  STREAM_RECORD(10),

  /** Looks up the software version of the server that began a stream. */
  STREAM_LOOKUP(11),

  /** Requests leases of slots of backend servers. */
  SLOT_LEASES(12),

  /** A watch of the store, for a daemon that watches the store itself. */
  DIRECT_WATCH(14),

  /** Stores the counts of requests that began at the sender. */
  USAGE_PUSH(16),

  /** Returns the counts of requests of a window that the other entry VM keeps. */
  USAGE_COUNTS(17),

  /** Returns whether the other entry VM reaches the platform's API. */
  API_REACH(18);

  private final int number;

  QueryKind(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
