package org.amaranthstream.membership;

/** Reachability of an entry VM, based on its heartbeats. */
public enum Reachability {
  /** No heartbeat has been received. */
  UNKNOWN,
  /** Heartbeats arrive in time. */
  REACHABLE,
  /** Heartbeats are overdue. */
  SUSPECT,
  /** No heartbeat arrived within the unreachable timeout, or too few have arrived since then. */
  UNREACHABLE
}
