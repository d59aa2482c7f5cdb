package org.amaranthstream.bench.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.amaranthstream.config.PriorityTarget;
import org.amaranthstream.rollout.DurationEstimate;
import org.amaranthstream.rollout.GenerateAhead;
import org.amaranthstream.rollout.GenerateAheadInput;

/**
 * One trainer before engines with a fixed number of slots, in virtual time.
 *
 * <p>Samples start in the order of their steps, as far ahead as the policy allows. A sample is
 * labelled with the version that the engines had at its start, and is checked against the bound
 * when its step is taken. The trainer takes a step once it is whole and makes one version with it.
 */
final class AheadModel {
  private static final int HISTOGRAM_MAX = 1_000;
  private static final double MEDIAN = 50;
  private static final double P99 = 99;

  private final TrainerLoad load;
  private final PriorityTarget weighsMore;
  private final GenerateAhead policy;
  private final Random sampleRandom;
  private final Random trainingRandom;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Integer, StepState> steps = new HashMap<>();
  private final Histogram staleness = new Histogram(HISTOGRAM_MAX, 3);
  private DurationEstimate generation = DurationEstimate.none();
  private DurationEstimate capacity = DurationEstimate.none();
  private DurationEstimate training = DurationEstimate.none();
  private double now;
  private double waitingSince;
  private double idleSeconds;
  private long trainerVersion;
  private long engineVersion;
  private int current;
  private int stepsAhead;
  private int busySlots;
  private long dropped;
  private long aheadSum;
  private boolean isTraining;

  AheadModel(TrainerLoad load, PriorityTarget weighsMore, GenerateAhead policy, long seed) {
    this.load = load;
    this.weighsMore = weighsMore;
    this.policy = policy;
    this.sampleRandom = new Random(seed);
    this.trainingRandom = new Random(~seed);
  }

  AheadResult run(int stepCount) {
    decide();
    startSamples();
    while (current < stepCount) {
      Event event = events.remove();
      now = event.at;
      event.effect.run();
      takeStepIfWhole();
      startSamples();
    }
    long delivered = staleness.getTotalCount();
    return new AheadResult(
        idleSeconds / now,
        staleness.getValueAtPercentile(MEDIAN),
        staleness.getValueAtPercentile(P99),
        staleness.getMaxValue(),
        dropped / (double) delivered,
        aheadSum / (double) stepCount);
  }

  private void startSamples() {
    for (int step = current; step <= current + stepsAhead && busySlots < load.slots(); step++) {
      StepState state = steps.computeIfAbsent(step, ignored -> new StepState());
      while (state.unstarted > 0 && busySlots < load.slots()) {
        startSample(state);
      }
    }
  }

  private void startSample(StepState state) {
    state.unstarted--;
    busySlots++;
    if (state.startedAt < 0) {
      state.startedAt = now;
    }
    long version = engineVersion;
    double seconds = logNormal(sampleRandom, load.sampleSeconds(), load.sampleSpread());
    state.busySeconds += seconds;
    schedule(seconds, () -> finishSample(state, version));
  }

  private void finishSample(StepState state, long version) {
    busySlots--;
    state.versions.add(version);
    if (state.versions.size() == load.samplesPerStep() && state.wholeAfter < 0) {
      state.wholeAfter = now - state.startedAt;
    }
  }

  private void takeStepIfWhole() {
    StepState state = steps.get(current);
    if (isTraining || state == null || state.versions.size() < load.samplesPerStep()) {
      return;
    }
    long before = state.versions.size();
    state.versions.removeIf(version -> trainerVersion - version > load.stalenessBound());
    long old = before - state.versions.size();
    if (old > 0) {
      dropped += old;
      state.unstarted += (int) old;
      return;
    }
    state.versions.forEach(version -> staleness.recordValue(trainerVersion - version));
    idleSeconds += now - waitingSince;
    generation = generation.with(state.wholeAfter);
    capacity = capacity.with(state.busySeconds / load.slots());
    isTraining = true;
    double seconds = logNormal(trainingRandom, load.trainingSeconds(), load.trainingSpread());
    schedule(seconds, () -> finishTraining(seconds));
  }

  private void finishTraining(double seconds) {
    isTraining = false;
    training = training.with(seconds);
    trainerVersion++;
    long version = trainerVersion;
    schedule(load.swapSeconds(), () -> engineVersion = version);
    steps.remove(current);
    current++;
    waitingSince = now;
    decide();
  }

  private void decide() {
    stepsAhead =
        policy
            .decide(
                new GenerateAheadInput(
                    load.stalenessBound(), weighsMore, 1, generation, capacity, training))
            .stepsAhead();
    aheadSum += stepsAhead;
  }

  private void schedule(double seconds, Runnable effect) {
    events.add(new Event(now + seconds, effect));
  }

  private static double logNormal(Random random, double median, double spread) {
    return median * Math.exp(spread * random.nextGaussian());
  }

  private record Event(double at, Runnable effect) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return Double.compare(at, other.at);
    }
  }

  private final class StepState {
    private final Deque<Long> versions = new ArrayDeque<>();
    private int unstarted = load.samplesPerStep();
    private double busySeconds;
    private double startedAt = -1;
    private double wholeAfter = -1;
  }
}
