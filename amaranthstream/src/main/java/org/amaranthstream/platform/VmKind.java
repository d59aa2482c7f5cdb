package org.amaranthstream.platform;

/** Kinds of VMs in the platform's VM list. */
public enum VmKind {
  /** An entry VM, which runs a daemon. */
  ENTRY,
  /** A backend server, which runs a model engine or a plain service. */
  BACKEND
}
