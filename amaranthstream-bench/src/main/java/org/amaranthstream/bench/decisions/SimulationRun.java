package org.amaranthstream.bench.decisions;

import java.time.Duration;
import org.amaranthstream.dispatch.Dispatcher;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.ZoneForwarder;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.time.VirtualTimerService;

/** One run of a dispatcher in front of simulated servers, in virtual time. */
final class SimulationRun {
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration END = Duration.ofSeconds(70);
  private static final Duration DRAIN_TIME = Duration.ofSeconds(30);

  private SimulationRun() {}

  /** Runs the load of an experiment with the given policies and returns the result. */
  static RunResult execute(Experiment experiment, DispatchPolicies policies, long seed) {
    VirtualTimerService timers = VirtualTimerService.create();
    SimulatedPoolSettings settings = experiment.settings();
    SimulatedPool pool = new SimulatedPool(timers, settings, seed);
    OutcomeStats stats = new OutcomeStats(timers);
    try (Dispatcher dispatcher = dispatcher(policies, timers, pool)) {
      experiment.fault().schedule(pool, timers);
      new Workload(timers, dispatcher, stats, experiment.load(), settings, seed, WARM_UP, END)
          .start();
      timers.advance(END.plus(DRAIN_TIME));
    }
    return stats.result(pool, (double) END.minus(WARM_UP).toSeconds());
  }

  private static Dispatcher dispatcher(
      DispatchPolicies policies, VirtualTimerService timers, SimulatedPool pool) {
    return policies
        .apply(Dispatcher.builder())
        .timers(timers)
        .transport(pool)
        .directory(pool)
        .forwarder(new SingleZoneForwarder())
        .region(SimulatedPool.REGION)
        .incarnation(Incarnation.of("run"))
        .build();
  }

  /** Forwarder of a region with a single zone. It rejects every forward. */
  private static final class SingleZoneForwarder implements ZoneForwarder {
    @Override
    public void forward(AvailabilityZoneId zone, Work work, WorkListener listener) {
      throw new IllegalStateException(
          "the simulation has a single zone and cannot forward to " + zone);
    }

    @Override
    public void cancel(RequestId id) {}
  }
}
