package org.amaranthstream.platform;

/** Kinds of calls to the platform, for the budget's counters. */
public enum CallKind {
  READ,
  WATCH,
  WRITE,
  LEASE,
  VM_LIST
}
