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

/** One run of a dispatcher before simulated servers. */
final class SimulationRun {
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration END = Duration.ofSeconds(70);
  private static final Duration AFTER_END = Duration.ofSeconds(30);

  private SimulationRun() {}

  static RunResult of(Experiment experiment, DispatchPolicies policies, long seed) {
    VirtualTimerService timers = VirtualTimerService.create();
    SimulatedPoolSettings settings = experiment.model();
    SimulatedPool pool = new SimulatedPool(timers, settings, seed);
    OutcomeStats measures = new OutcomeStats(timers);
    try (Dispatcher dispatcher = dispatcher(policies, timers, pool)) {
      experiment.fault().arm(pool, timers);
      new Workload(timers, dispatcher, measures, experiment.load(), settings, seed, WARM_UP, END)
          .start();
      timers.advance(END.plus(AFTER_END));
    }
    return measures.result(pool, (double) END.minus(WARM_UP).toSeconds());
  }

  private static Dispatcher dispatcher(
      DispatchPolicies policies, VirtualTimerService timers, SimulatedPool pool) {
    return policies
        .apply(Dispatcher.builder())
        .timers(timers)
        .transport(pool)
        .directory(pool)
        .forwarder(new NoForwarder())
        .region(SimulatedPool.REGION)
        .incarnation(Incarnation.of("run"))
        .build();
  }

  /** A zone without others. */
  private static final class NoForwarder implements ZoneForwarder {
    @Override
    public void forward(AvailabilityZoneId zone, Work work, WorkListener listener) {
      throw new IllegalStateException("no zone " + zone);
    }

    @Override
    public void cancel(RequestId id) {}
  }
}
