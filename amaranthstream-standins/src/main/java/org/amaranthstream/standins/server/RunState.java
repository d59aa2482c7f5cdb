package org.amaranthstream.standins.server;

/** State of one run of a request. */
public enum RunState {
  RUNNING,
  FINISHED,
  CANCELLED,
  FAILED,
  CRASHED
}
