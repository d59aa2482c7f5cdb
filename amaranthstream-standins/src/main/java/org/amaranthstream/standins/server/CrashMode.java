package org.amaranthstream.standins.server;

/** What a crash of a stand-in ends. */
public enum CrashMode {
  /** The process, at once. */
  HALT,
  /** The server and its connections; the process goes on. */
  CLOSE
}
