package org.amaranthstream.bench.decisions;

import java.time.Duration;
import org.amaranthstream.time.VirtualTimerService;

/** A fault that happens to a simulated pool during a run. */
interface Fault {

  /** Arms the fault. */
  void arm(SimulatedPool pool, VirtualTimerService timers);

  /** Returns no fault. */
  static Fault none() {
    return (pool, timers) -> {};
  }

  /** Returns the crash of the first server after 20 s, with a restart after 10 s. */
  static Fault crash() {
    return (pool, timers) ->
        timers.after(
            Duration.ofSeconds(20), () -> pool.servers.get(0).crash(Duration.ofSeconds(10)));
  }

  /** Returns the first server frozen from 20 s on, with its connections open. */
  static Fault freeze() {
    return (pool, timers) ->
        timers.after(Duration.ofSeconds(20), () -> pool.servers.get(0).frozen = true);
  }

  /** Returns failures of a share of the requests of the first server. */
  static Fault failures(double share) {
    return (pool, timers) -> pool.servers.get(0).failureRate = share;
  }

  /** Returns failures of a share of the requests of all servers. */
  static Fault failuresEverywhere(double share) {
    return (pool, timers) -> pool.servers.forEach(server -> server.failureRate = share);
  }

  /** Returns a first server that is slower by {@code factor}. */
  static Fault slow(double factor) {
    return (pool, timers) -> pool.servers.get(0).slowdown = factor;
  }
}
