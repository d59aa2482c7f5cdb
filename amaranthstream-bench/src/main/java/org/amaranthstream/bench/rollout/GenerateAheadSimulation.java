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
 * Simulation, in virtual time, of one trainer and engines with a fixed number of slots.
 *
 * <p>Samples start in the order of their steps, as many steps ahead as the policy allows. A sample
 * is labelled with the weight version that the engines had at its start. Its staleness is checked
 * against the bound when the trainer starts to train on its step. Samples that are too old are
 * dropped and generated again. The trainer starts a step once all its samples are complete, and
 * produces one version with it. Not thread safe.
 */
final class GenerateAheadSimulation {
  private static final int MAX_RECORDED_STALENESS = 1_000;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double P99_PERCENTILE = 99;

  private final SimulationParameters parameters;
  private final PriorityTarget priority;
  private final GenerateAhead policy;
  private final Random sampleRandom;
  private final Random trainingRandom;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Integer, StepState> steps = new HashMap<>();
  private final Histogram staleness = new Histogram(MAX_RECORDED_STALENESS, 3);
  private DurationEstimate generationTime = DurationEstimate.none();
  private DurationEstimate engineTime = DurationEstimate.none();
  private DurationEstimate trainingTime = DurationEstimate.none();
  private double nowSeconds;
  private double idleSinceSeconds;
  private double idleSeconds;
  private long trainerVersion;
  private long engineVersion;
  private int currentStep;
  private int stepsAhead;
  private int busySlots;
  private long dropped;
  private long stepsAheadSum;
  private boolean isTraining;

  GenerateAheadSimulation(
      SimulationParameters parameters, PriorityTarget priority, GenerateAhead policy, long seed) {
    this.parameters = parameters;
    this.priority = priority;
    this.policy = policy;
    this.sampleRandom = new Random(seed);
    this.trainingRandom = new Random(~seed);
  }

  GenerateAheadResult run(int stepCount) {
    chooseStepsAhead();
    startSamples();
    while (currentStep < stepCount) {
      Event event = events.remove();
      nowSeconds = event.atSeconds;
      event.action.run();
      startTrainingIfStepIsComplete();
      startSamples();
    }
    long delivered = staleness.getTotalCount();
    return new GenerateAheadResult(
        idleSeconds / nowSeconds,
        staleness.getValueAtPercentile(MEDIAN_PERCENTILE),
        staleness.getValueAtPercentile(P99_PERCENTILE),
        staleness.getMaxValue(),
        dropped / (double) delivered,
        stepsAheadSum / (double) stepCount);
  }

  private void startSamples() {
    for (int step = currentStep;
        step <= currentStep + stepsAhead && busySlots < parameters.slots();
        step++) {
      StepState state = steps.computeIfAbsent(step, ignored -> new StepState());
      while (state.samplesToStart > 0 && busySlots < parameters.slots()) {
        startSample(state);
      }
    }
  }

  private void startSample(StepState state) {
    state.samplesToStart--;
    busySlots++;
    if (state.startSeconds < 0) {
      state.startSeconds = nowSeconds;
    }
    long version = engineVersion;
    double seconds = logNormal(sampleRandom, parameters.sampleSeconds(), parameters.sampleSpread());
    state.busySeconds += seconds;
    schedule(seconds, () -> finishSample(state, version));
  }

  private void finishSample(StepState state, long version) {
    busySlots--;
    state.versions.add(version);
    if (state.versions.size() == parameters.samplesPerStep() && state.generationSeconds < 0) {
      state.generationSeconds = nowSeconds - state.startSeconds;
    }
  }

  private void startTrainingIfStepIsComplete() {
    StepState state = steps.get(currentStep);
    if (isTraining || state == null || state.versions.size() < parameters.samplesPerStep()) {
      return;
    }
    long samplesBefore = state.versions.size();
    state.versions.removeIf(version -> trainerVersion - version > parameters.stalenessBound());
    long tooOld = samplesBefore - state.versions.size();
    if (tooOld > 0) {
      dropped += tooOld;
      state.samplesToStart += (int) tooOld;
      return;
    }
    state.versions.forEach(version -> staleness.recordValue(trainerVersion - version));
    idleSeconds += nowSeconds - idleSinceSeconds;
    generationTime = generationTime.with(state.generationSeconds);
    engineTime = engineTime.with(state.busySeconds / parameters.slots());
    isTraining = true;
    double seconds =
        logNormal(trainingRandom, parameters.trainingSeconds(), parameters.trainingSpread());
    schedule(seconds, () -> finishTraining(seconds));
  }

  private void finishTraining(double seconds) {
    isTraining = false;
    trainingTime = trainingTime.with(seconds);
    trainerVersion++;
    long version = trainerVersion;
    schedule(parameters.swapSeconds(), () -> engineVersion = version);
    steps.remove(currentStep);
    currentStep++;
    idleSinceSeconds = nowSeconds;
    chooseStepsAhead();
  }

  private void chooseStepsAhead() {
    stepsAhead =
        policy
            .decide(
                new GenerateAheadInput(
                    parameters.stalenessBound(),
                    priority,
                    1,
                    generationTime,
                    engineTime,
                    trainingTime))
            .stepsAhead();
    stepsAheadSum += stepsAhead;
  }

  private void schedule(double seconds, Runnable action) {
    events.add(new Event(nowSeconds + seconds, action));
  }

  private static double logNormal(Random random, double median, double spread) {
    return median * Math.exp(spread * random.nextGaussian());
  }

  private record Event(double atSeconds, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return Double.compare(atSeconds, other.atSeconds);
    }
  }

  private final class StepState {
    private final Deque<Long> versions = new ArrayDeque<>();
    private int samplesToStart = parameters.samplesPerStep();
    private double busySeconds;
    private double startSeconds = -1;
    private double generationSeconds = -1;
  }
}
