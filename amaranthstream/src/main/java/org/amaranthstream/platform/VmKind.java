package org.amaranthstream.platform;

/** What a VM of the platform's list is. */
public enum VmKind {
  /** An entry VM: runs a daemon of the system. */
  ENTRY,
  /** A backend server: runs a model engine or a plain service. */
  BACKEND
}
