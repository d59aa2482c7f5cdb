package org.amaranthstream.standins.server;

/** Scope of a simulated crash of a stand-in. */
public enum CrashMode {
  /** Halts the process immediately, without shutdown hooks. */
  HALT,
  /** Closes the server and its connections; the process continues. */
  CLOSE
}
