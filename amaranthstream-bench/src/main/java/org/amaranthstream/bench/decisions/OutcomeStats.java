package org.amaranthstream.bench.decisions;

import org.HdrHistogram.Histogram;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.time.VirtualTimerService;

/** Counts the outcomes of one run. Not thread safe. */
final class OutcomeStats {
  private static final double MICROS_PER_MILLI = 1e3;
  private static final long NANOS_PER_MICRO = 1000;
  private static final long LATE_REFUSAL_NANOS = 50_000_000;

  private final VirtualTimerService timers;
  private final Histogram latencyMicros = new Histogram(3);
  private int interactive;
  private int inTime;
  private int refused;
  private int refusedLate;
  private int errors;
  private int training;
  private int trainingInTime;
  private long trainingTokens;
  private long tokensDelivered;

  OutcomeStats(VirtualTimerService timers) {
    this.timers = timers;
  }

  /** Returns the listener of a request that arrives now. */
  WorkListener arrival(Work work, boolean counted) {
    boolean forTraining = work.priority() == Priority.TRAINING;
    if (counted && forTraining) {
      training++;
    } else if (counted) {
      interactive++;
    }
    return new Arrival(work, counted, timers.nowNanos());
  }

  RunResult result(SimulatedPool pool, double seconds) {
    long generated = pool.servers.stream().mapToLong(s -> s.tokensGenerated).sum();
    int starts = pool.servers.stream().mapToInt(s -> s.starts).sum();
    int hits = pool.servers.stream().mapToInt(s -> s.cacheHits).sum();
    return new RunResult(
        interactive + training,
        interactive,
        share(inTime, interactive),
        share(refused, interactive),
        share(errors, interactive),
        inTime / seconds,
        latencyMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        latencyMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
        share(trainingInTime, training),
        share(trainingTokens, trainingInTime),
        1 - share(tokensDelivered, generated),
        share(hits, starts),
        share(refusedLate, refused),
        pool.servers.stream().mapToInt(s -> s.failures).sum(),
        pool.servers.stream().mapToInt(s -> s.crashes).sum());
  }

  private static double share(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }

  private final class Arrival implements WorkListener {
    private final Work work;
    private final boolean counted;
    private final long startNanos;
    private long tokens;

    private Arrival(Work work, boolean counted, long startNanos) {
      this.work = work;
      this.counted = counted;
      this.startNanos = startNanos;
    }

    @Override
    public void onChunk(Chunk chunk) {
      tokens += chunk.tokens();
    }

    @Override
    public void onOutcome(Outcome outcome) {
      boolean whole = outcome instanceof Outcome.Completed;
      tokensDelivered += whole ? tokens : 0;
      if (!counted) {
        return;
      }
      if (work.priority() == Priority.TRAINING) {
        trainingInTime += whole ? 1 : 0;
        trainingTokens += whole ? tokens : 0;
      } else {
        countInteractive(outcome);
      }
    }

    private void countInteractive(Outcome outcome) {
      if (outcome instanceof Outcome.Completed) {
        inTime++;
        latencyMicros.recordValue((timers.nowNanos() - startNanos) / NANOS_PER_MICRO);
      } else if (outcome instanceof Outcome.NotRun) {
        refused++;
        refusedLate += timers.nowNanos() - startNanos > LATE_REFUSAL_NANOS ? 1 : 0;
      } else {
        errors++;
      }
    }
  }
}
