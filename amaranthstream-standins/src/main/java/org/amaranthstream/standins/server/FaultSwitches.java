package org.amaranthstream.standins.server;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;

/**
 * Fault injection switches that every stand-in has.
 *
 * <p>A request to {@code /v1/control} sets them by their field names. Confined to the server's
 * event loop.
 */
@JsonAutoDetect(
    fieldVisibility = Visibility.ANY,
    getterVisibility = Visibility.NONE,
    isGetterVisibility = Visibility.NONE)
public class FaultSwitches {
  /** Crashes the stand-in once, as its {@link CrashMode} says; resets itself. */
  protected boolean crash;

  /**
   * Time after which a crashed server listens again with a new incarnation, in ms; -1 disables the
   * restart. If it is set, a crash never halts the process.
   */
  protected int restartAfterMs = -1;

  /**
   * Silences every open connection once; resets itself. Silent connections stay open; new
   * connections are served.
   */
  protected boolean freeze;

  /** Delay before each request is handled, in ms. */
  protected int slowMs;

  /** Whether new connections are accepted but get no responses. */
  protected boolean silent;

  /** Creates switches with all faults off. */
  public FaultSwitches() {}
}
