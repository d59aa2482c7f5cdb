package org.amaranthstream.membership;

/** What the heartbeats of an entry VM say about it. */
public enum Reachability {
  /** No heartbeat was ever received. */
  UNKNOWN,
  /** Heartbeats arrive. */
  REACHABLE,
  /** Heartbeats are overdue. */
  SUSPECT,
  /** No heartbeat for so long that the entry VM is taken as gone, or not yet back for good. */
  UNREACHABLE
}
