package org.amaranthstream.standins.server;

/** How far a run of a request has come. */
public enum RunState {
  RUNNING,
  FINISHED,
  CANCELLED,
  FAILED,
  CRASHED
}
