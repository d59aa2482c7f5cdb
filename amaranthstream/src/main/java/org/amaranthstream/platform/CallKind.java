package org.amaranthstream.platform;

/** Kinds of platform calls, by which calls are counted. */
public enum CallKind {
  READ,
  WATCH,
  WRITE,
  LEASE,
  VM_LIST
}
