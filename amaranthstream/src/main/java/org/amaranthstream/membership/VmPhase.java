package org.amaranthstream.membership;

/** Whether an entry VM takes new work. */
public enum VmPhase {
  /** Takes new work. */
  READY,
  /** Finishes what is in flight and then exits. */
  LEAVING
}
