package org.amaranthstream.bench.decisions;

import org.HdrHistogram.Histogram;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.time.VirtualTimerService;

/** Statistics of the outcomes of one run. Not thread safe. */
final class OutcomeStats {
  private static final double MICROS_PER_MILLI = 1e3;
  private static final long NANOS_PER_MICRO = 1000;

  /** Time from the arrival after which a rejection counts as late: 50 ms. */
  private static final long LATE_REJECTION_NANOS = 50_000_000;

  private final VirtualTimerService timers;
  private final Histogram latencyMicros = new Histogram(3);
  private int interactive;
  private int inTime;
  private int rejected;
  private int lateRejections;
  private int errors;
  private int training;
  private int trainingInTime;
  private long trainingTokens;
  private long deliveredTokens;

  OutcomeStats(VirtualTimerService timers) {
    this.timers = timers;
  }

  /**
   * Returns the listener that records the outcome of a request that arrives now.
   *
   * @param counted true if the request counts in the result; false for warm-up and poison requests
   */
  WorkListener onArrival(Work work, boolean counted) {
    boolean isTraining = work.priority() == Priority.TRAINING;
    if (counted && isTraining) {
      training++;
    } else if (counted) {
      interactive++;
    }
    return new OutcomeRecorder(work, counted, timers.nowNanos());
  }

  /**
   * Returns the result of the run.
   *
   * @param seconds length of the counted part of the run, in s
   */
  RunResult result(SimulatedPool pool, double seconds) {
    long generatedTokens = pool.servers.stream().mapToLong(s -> s.tokensGenerated).sum();
    int starts = pool.servers.stream().mapToInt(s -> s.starts).sum();
    int hits = pool.servers.stream().mapToInt(s -> s.cacheHits).sum();
    return new RunResult(
        interactive + training,
        interactive,
        share(inTime, interactive),
        share(rejected, interactive),
        share(errors, interactive),
        inTime / seconds,
        latencyMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        latencyMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
        share(trainingInTime, training),
        share(trainingTokens, trainingInTime),
        1 - share(deliveredTokens, generatedTokens),
        share(hits, starts),
        share(lateRejections, rejected),
        pool.servers.stream().mapToInt(s -> s.failures).sum(),
        pool.servers.stream().mapToInt(s -> s.crashes).sum());
  }

  private static double share(long part, long total) {
    return total == 0 ? 0 : (double) part / total;
  }

  private final class OutcomeRecorder implements WorkListener {
    private final Work work;
    private final boolean counted;
    private final long arrivalNanos;
    private long tokens;

    private OutcomeRecorder(Work work, boolean counted, long arrivalNanos) {
      this.work = work;
      this.counted = counted;
      this.arrivalNanos = arrivalNanos;
    }

    @Override
    public void onChunk(Chunk chunk) {
      tokens += chunk.tokens();
    }

    @Override
    public void onOutcome(Outcome outcome) {
      boolean isCompleted = outcome instanceof Outcome.Completed;
      deliveredTokens += isCompleted ? tokens : 0;
      if (!counted) {
        return;
      }
      if (work.priority() == Priority.TRAINING) {
        trainingInTime += isCompleted ? 1 : 0;
        trainingTokens += isCompleted ? tokens : 0;
      } else {
        countInteractive(outcome);
      }
    }

    private void countInteractive(Outcome outcome) {
      if (outcome instanceof Outcome.Completed) {
        inTime++;
        latencyMicros.recordValue((timers.nowNanos() - arrivalNanos) / NANOS_PER_MICRO);
      } else if (outcome instanceof Outcome.NotRun) {
        rejected++;
        lateRejections += timers.nowNanos() - arrivalNanos > LATE_REJECTION_NANOS ? 1 : 0;
      } else {
        errors++;
      }
    }
  }
}
