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
 * Arrivals of a run: single interactive requests with exponential gaps, and groups of training
 * samples that share a prompt. Not thread safe.
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
  private final OutcomeStats measures;
  private final Random random;
  private final Duration warmUp;
  private final Duration end;
  private final Load load;
  private final double slots;
  private final SimulatedPoolSettings settings;
  private long sequence;
  private long groups;

  Workload(
      VirtualTimerService timers,
      Dispatcher dispatcher,
      OutcomeStats measures,
      Load load,
      SimulatedPoolSettings settings,
      long seed,
      Duration warmUp,
      Duration end) {
    this.timers = timers;
    this.dispatcher = dispatcher;
    this.measures = measures;
    this.load = load;
    this.settings = settings;
    this.slots = settings.servers() * settings.slots();
    this.random = new Random(seed);
    this.warmUp = warmUp;
    this.end = end;
  }

  void start() {
    double free = 1 - Load.TRAINING_SHARE;
    double interactiveRate =
        load.interactive() * free * slots / serviceSeconds(INTERACTIVE_MEAN_TOKENS);
    double groupRate =
        load.training() * slots / serviceSeconds(TRAINING_MEAN_TOKENS) / GROUP_SAMPLES;
    repeat(interactiveRate, this::submitInteractive);
    repeat(groupRate, this::submitGroup);
    if (load.poison()) {
      timers.every(Duration.ofSeconds(1), this::submitPoison);
    }
  }

  private double serviceSeconds(int tokens) {
    return (settings.missPrefillMillis() + tokens * settings.tokenMillis()) / MILLIS_PER_SECOND;
  }

  private void repeat(double rate, Runnable arrival) {
    if (rate <= 0) {
      return;
    }
    double gap = -Math.log(1 - random.nextDouble()) / rate;
    timers.after(
        Duration.ofNanos((long) (gap * NANOS_PER_SECOND)),
        () -> {
          if (timers.nowNanos() < end.toNanos()) {
            arrival.run();
            repeat(rate, arrival);
          }
        });
  }

  private void submitInteractive() {
    String prefix = "form-" + random.nextInt(INTERACTIVE_PREFIXES);
    submit(work("lookup", Priority.INTERACTIVE, prefix, INTERACTIVE_MEAN_TOKENS));
  }

  private void submitGroup() {
    String prefix = "group-" + groups++;
    for (int i = 0; i < GROUP_SAMPLES; i++) {
      submit(work("coder", Priority.TRAINING, prefix, TRAINING_MEAN_TOKENS));
    }
  }

  private void submitPoison() {
    Work.Builder poison = work("lookup", Priority.INTERACTIVE, "poison", INTERACTIVE_MEAN_TOKENS);
    Payload payload = new Payload.Generate(SimulatedAttempt.POISON, INTERACTIVE_MEAN_TOKENS, 0);
    Work work = poison.payload(payload).build();
    dispatcher.submit(work, measures.arrival(work, false));
  }

  private Work.Builder work(String name, Priority priority, String prefix, int meanTokens) {
    int tokens = meanTokens / 4 + random.nextInt(meanTokens * 3 / 2);
    Duration deadline = priority == Priority.TRAINING ? TRAINING_DEADLINE : INTERACTIVE_DEADLINE;
    return Work.builder()
        .id(RequestId.of(VM, INCARNATION, sequence++))
        .workClass(WorkClassId.of(name))
        .pool(SimulatedPool.POOL)
        .priority(priority)
        .payload(new Payload.Generate(prefix + " " + sequence, tokens, sequence))
        .affinity(AffinityKey.of(prefix))
        .deadlineNanos(timers.nowNanos() + deadline.toNanos());
  }

  private void submit(Work.Builder builder) {
    Work work = builder.build();
    boolean counted = timers.nowNanos() >= warmUp.toNanos();
    dispatcher.submit(work, measures.arrival(work, counted));
  }
}
