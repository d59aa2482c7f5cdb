package org.amaranthstream.bench.decisions;

import java.time.Duration;
import org.amaranthstream.time.VirtualTimerService;

/** Fault of a simulated pool during a run. */
interface Fault {

  /** Applies the fault to the pool now or schedules it on the virtual clock. */
  void schedule(SimulatedPool pool, VirtualTimerService timers);

  /** Returns a fault that does nothing. */
  static Fault none() {
    return (pool, timers) -> {};
  }

  /** Returns a crash of the first server after 20 s. The server restarts 10 s later. */
  static Fault crash() {
    return (pool, timers) ->
        timers.after(
            Duration.ofSeconds(20), () -> pool.servers.get(0).crash(Duration.ofSeconds(10)));
  }

  /** Returns a freeze of the first server after 20 s. Its connections stay open. */
  static Fault freeze() {
    return (pool, timers) ->
        timers.after(Duration.ofSeconds(20), () -> pool.servers.get(0).frozen = true);
  }

  /** Returns a fault that fails a share of the requests of the first server. */
  static Fault failures(double share) {
    return (pool, timers) -> pool.servers.get(0).failureRate = share;
  }

  /** Returns a fault that fails a share of the requests of every server. */
  static Fault failuresEverywhere(double share) {
    return (pool, timers) -> pool.servers.forEach(server -> server.failureRate = share);
  }

  /** Returns a fault that multiplies all times of the first server by {@code factor}. */
  static Fault slow(double factor) {
    return (pool, timers) -> pool.servers.get(0).slowdown = factor;
  }
}
