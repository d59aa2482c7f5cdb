package org.amaranthstream.bench.decisions;

import java.time.Duration;
import java.util.Random;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.Dispatcher;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.AffinityKey;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.time.VirtualTimerService;

/**
 * Load generator of a run. Interactive requests arrive one by one and training samples arrive in
 * groups that share a prefix; both arrive with exponentially distributed gaps. Not thread safe.
 */
final class Workload {
  static final Duration INTERACTIVE_DEADLINE = Duration.ofSeconds(2);
  private static final Duration TRAINING_DEADLINE = Duration.ofSeconds(20);
  private static final int INTERACTIVE_MEAN_TOKENS = 32;
  private static final int TRAINING_MEAN_TOKENS = 96;
  private static final int GROUP_SAMPLES = 8;
  private static final int INTERACTIVE_PREFIXES = 64;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;
  private static final EntryVmId VM = EntryVmId.of("lisboa-a-1");
  private static final Incarnation INCARNATION = Incarnation.of("run");

  private final VirtualTimerService timers;
  private final Dispatcher dispatcher;
  private final OutcomeStats stats;
  private final Random random;
  private final Duration warmUp;
  private final Duration end;
  private final Load load;
  private final double slots;
  private final SimulatedPoolSettings settings;
  private long nextSequence;
  private long nextGroup;

  Workload(
      VirtualTimerService timers,
      Dispatcher dispatcher,
      OutcomeStats stats,
      Load load,
      SimulatedPoolSettings settings,
      long seed,
      Duration warmUp,
      Duration end) {
    this.timers = timers;
    this.dispatcher = dispatcher;
    this.stats = stats;
    this.load = load;
    this.settings = settings;
    this.slots = settings.servers() * settings.slots();
    this.random = new Random(seed);
    this.warmUp = warmUp;
    this.end = end;
  }

  /** Schedules the arrivals until the end of the run. */
  void start() {
    double interactiveShare = 1 - Load.TRAINING_SHARE;
    double interactiveRate =
        load.interactive() * interactiveShare * slots / serviceSeconds(INTERACTIVE_MEAN_TOKENS);
    double groupRate =
        load.training() * slots / serviceSeconds(TRAINING_MEAN_TOKENS) / GROUP_SAMPLES;
    scheduleArrivals(interactiveRate, this::submitInteractive);
    scheduleArrivals(groupRate, this::submitTrainingGroup);
    if (load.poison()) {
      timers.every(Duration.ofSeconds(1), this::submitPoison);
    }
  }

  /** Returns the time of a request without a cached prefix, in s. */
  private double serviceSeconds(int tokens) {
    return (settings.missPrefillMillis() + tokens * settings.tokenMillis()) / MILLIS_PER_SECOND;
  }

  private void scheduleArrivals(double ratePerSecond, Runnable submitNext) {
    if (ratePerSecond <= 0) {
      return;
    }
    double gapSeconds = -Math.log(1 - random.nextDouble()) / ratePerSecond;
    timers.after(
        Duration.ofNanos((long) (gapSeconds * NANOS_PER_SECOND)),
        () -> {
          if (timers.nowNanos() < end.toNanos()) {
            submitNext.run();
            scheduleArrivals(ratePerSecond, submitNext);
          }
        });
  }

  private void submitInteractive() {
    String prefix = "form-" + random.nextInt(INTERACTIVE_PREFIXES);
    submit(newWork("lookup", Priority.INTERACTIVE, prefix, INTERACTIVE_MEAN_TOKENS));
  }

  private void submitTrainingGroup() {
    String prefix = "group-" + nextGroup++;
    for (int i = 0; i < GROUP_SAMPLES; i++) {
      submit(newWork("coder", Priority.TRAINING, prefix, TRAINING_MEAN_TOKENS));
    }
  }

  private void submitPoison() {
    Work.Builder poison =
        newWork("lookup", Priority.INTERACTIVE, "poison", INTERACTIVE_MEAN_TOKENS);
    Payload payload = new Payload.Generate(SimulatedAttempt.POISON, INTERACTIVE_MEAN_TOKENS, 0);
    Work work = poison.payload(payload).build();
    dispatcher.submit(work, stats.onArrival(work, false));
  }

  private Work.Builder newWork(String name, Priority priority, String prefix, int meanTokens) {
    int tokens = meanTokens / 4 + random.nextInt(meanTokens * 3 / 2);
    Duration deadline = priority == Priority.TRAINING ? TRAINING_DEADLINE : INTERACTIVE_DEADLINE;
    return Work.builder()
        .id(RequestId.of(VM, INCARNATION, nextSequence++))
        .workClass(WorkClassId.of(name))
        .pool(SimulatedPool.POOL)
        .priority(priority)
        .payload(new Payload.Generate(prefix + " " + nextSequence, tokens, nextSequence))
        .affinity(AffinityKey.of(prefix))
        .deadlineNanos(timers.nowNanos() + deadline.toNanos());
  }

  private void submit(Work.Builder builder) {
    Work work = builder.build();
    boolean counted = timers.nowNanos() >= warmUp.toNanos();
    dispatcher.submit(work, stats.onArrival(work, counted));
  }
}
