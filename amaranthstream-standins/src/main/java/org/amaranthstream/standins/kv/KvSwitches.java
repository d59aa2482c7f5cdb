package org.amaranthstream.standins.kv;

import java.util.List;
import java.util.Map;
import org.amaranthstream.standins.server.FaultSwitches;
import org.jspecify.annotations.Nullable;

/** Fault injection switches of the key-value service. */
final class KvSwitches extends FaultSwitches {
  /** Whether every call fails with status 503. */
  boolean outage;

  /** Number of writes that take effect and whose response is lost; decreases with each. */
  int loseAnswers;

  /** Whether reads return the entries as they were when this switch was turned on. */
  boolean staleReads;

  /** Whether watches get no response, neither a change nor a timeout. */
  boolean silentWatch;

  /** Maximum number of writes per second; 0 for no limit. */
  int writesPerSecond;

  /** Maximum number of reads per second; 0 for no limit. */
  int readsPerSecond;

  /** Delay until a new list of VMs is returned to readers, in ms. */
  int vmListLagMs;

  /** New list of VMs, which is applied once; reset to null afterwards. */
  @Nullable List<Vm> vms;

  /**
   * Lists of VMs by IP address of the reader, in place of the common list and without its delay.
   */
  Map<String, List<Vm>> vmsByReader = Map.of();
}
