package org.amaranthstream.standins.kv;

import java.util.List;
import java.util.Map;
import org.amaranthstream.standins.server.FaultSwitches;
import org.jspecify.annotations.Nullable;

/** Switches of the key-value service. */
final class KvSwitches extends FaultSwitches {
  /** Whether every call is answered with 503. */
  boolean outage;

  /** Number of writes that take effect and whose answer is lost. */
  int loseAnswers;

  /** Whether reads answer from the state at the moment that this was switched on. */
  boolean staleReads;

  /** Whether watches never answer. */
  boolean silentWatch;

  /** Greatest number of writes a second, 0 for no limit. */
  int writesPerSecond;

  /** Greatest number of reads a second, 0 for no limit. */
  int readsPerSecond;

  /** Time that the list of VMs lags behind, in ms. */
  int vmListLagMs;

  /** Once: the list of VMs from now on. */
  @Nullable List<Vm> vms;

  /** Lists of VMs by the address of the reader, for readers that see other addresses. */
  Map<String, List<Vm>> vmsByReader = Map.of();
}
