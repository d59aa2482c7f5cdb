package org.amaranthstream.membership;

/** Whether an entry VM accepts new work. */
public enum VmPhase {
  /** Accepts new work. */
  READY,
  /** Accepts no new work, finishes what is in flight and then exits. */
  LEAVING
}
