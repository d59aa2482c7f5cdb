package org.amaranthstream.standins.server;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;

/** Switches that every stand-in has. The control port sets them by their field names. */
@JsonAutoDetect(
    fieldVisibility = Visibility.ANY,
    getterVisibility = Visibility.NONE,
    isGetterVisibility = Visibility.NONE)
public class FaultSwitches {
  /** Once: ends the process, or closes the server abruptly if it is embedded. */
  protected boolean crash;

  /** Time after which a crashed server is back with a new incarnation, in ms; -1 for never. */
  protected int restartAfterMs = -1;

  /** Once: every open connection goes silent and stays open; new ones work. */
  protected boolean freeze;

  /** Delay before each request takes effect, in ms. */
  protected int slowMs;

  /** Whether connections go silent as they open, in place of being served. */
  protected boolean silent;

  /** Creates switches that are all off. */
  public FaultSwitches() {}
}
