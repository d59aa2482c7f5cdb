package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.Iterator;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.ids.StepNumber;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.ids.WeightVersion;
import org.jspecify.annotations.Nullable;

/**
 * The open steps of one trainer, and the number of steps to generate ahead of it.
 *
 * <p>Not thread safe; used on the decision thread only.
 */
final class TrainerSteps {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double SMOOTHING_FACTOR = 0.25;

  private final TrainerId trainer;
  private final RolloutContext context;
  private final GenerateAhead generateAhead;
  private final VersionForecast versionForecast;
  private final TreeMap<StepNumber, StepOwner> steps = new TreeMap<>();
  private DurationEstimate generation = DurationEstimate.none();
  private DurationEstimate engineTime = DurationEstimate.none();
  private DurationEstimate training = DurationEstimate.none();
  private double versionsPerStep = GenerateAhead.MIN_VERSIONS_PER_STEP;
  private GenerateAheadDecision decision = new GenerateAheadDecision(0, "no pull yet");
  private @Nullable StepNumber current;
  private @Nullable WeightVersion version;
  private Optional<Long> fullySentNanos = Optional.empty();

  TrainerSteps(
      TrainerId trainer,
      RolloutContext context,
      GenerateAhead generateAhead,
      VersionForecast versionForecast) {
    this.trainer = trainer;
    this.context = context;
    this.generateAhead = generateAhead;
    this.versionForecast = versionForecast;
  }

  Optional<StepOwner> find(StepNumber number) {
    return Optional.ofNullable(steps.get(number));
  }

  Collection<StepOwner> owners() {
    return steps.values();
  }

  boolean isEmpty() {
    return steps.isEmpty();
  }

  /**
   * Ensures that one more step can be added. If the limit is reached, drops the first step,
   * provided that the trainer's current step is after it.
   *
   * @return false if no step can be added
   */
  boolean ensureCapacity() {
    if (steps.size() < context.limits().maxStepsPerTrainer()) {
      return true;
    }
    StepNumber first = steps.firstKey();
    if (current == null || !current.isAfter(first)) {
      return false;
    }
    drop(first);
    return true;
  }

  void add(StepOwner owner) {
    steps.put(owner.id().number(), owner);
    updateAllowedSteps();
  }

  void drop(StepNumber number) {
    StepOwner owner = steps.remove(number);
    if (owner != null) {
      owner.stop();
    }
  }

  /** Drops the steps that were not used for {@code time} and returns their number. */
  int dropUnused(Duration time) {
    int dropped = 0;
    Iterator<StepOwner> iterator = steps.values().iterator();
    while (iterator.hasNext()) {
      StepOwner owner = iterator.next();
      if (owner.isUnusedFor(time)) {
        iterator.remove();
        owner.stop();
        dropped++;
      }
    }
    return dropped;
  }

  /**
   * Records a pull before its owner processes it. The first pull of another step makes that step
   * the current one and decides the number of steps ahead again.
   */
  void onPull(StepOwner owner, WeightVersion trainerVersion) {
    StepNumber number = owner.id().number();
    if (!number.equals(current)) {
      recordStepChange(number, trainerVersion);
      current = number;
      dropFullySentBefore(number);
      updateDecision(owner.generator().workClass());
    }
    version = trainerVersion;
    updateAllowedSteps();
  }

  /** Records that a page was sent. After the last slot, updates the generation estimates. */
  void onPageSent(StepOwner owner) {
    if (owner.id().number().equals(current) && fullySentNanos.isEmpty() && owner.isFullySent()) {
      fullySentNanos = Optional.of(context.timers().nowNanos());
      owner.generator().times().generation().ifPresent(this::recordGeneration);
      owner.generator().times().engineTime().ifPresent(this::recordEngineTime);
    }
  }

  /** Returns the state of the trainer for the state dump. */
  TrainerDescription describe() {
    return new TrainerDescription(
        trainer.value(),
        current == null ? -1 : current.value(),
        version == null ? -1 : version.value(),
        decision.stepsAhead(),
        decision.reason());
  }

  private void recordGeneration(Duration time) {
    generation = generation.with(toSeconds(time.toNanos()));
  }

  private void recordEngineTime(Duration time) {
    engineTime = engineTime.with(toSeconds(time.toNanos()));
  }

  private void recordStepChange(StepNumber next, WeightVersion nextVersion) {
    boolean isNextStep = current != null && next.value() == current.value() + 1;
    if (isNextStep && fullySentNanos.isPresent()) {
      training = training.with(toSeconds(context.timers().nowNanos() - fullySentNanos.get()));
    }
    if (isNextStep && version != null) {
      double versionsMade = Math.max(0, nextVersion.value() - version.value());
      versionsPerStep += SMOOTHING_FACTOR * (versionsMade - versionsPerStep);
    }
    fullySentNanos = Optional.empty();
  }

  private void updateDecision(WorkClass workClass) {
    GenerateAheadInput input =
        new GenerateAheadInput(
            workClass.stalenessBound(),
            workClass.weighsMore(),
            versionsPerStep,
            generation,
            engineTime,
            training);
    GenerateAheadDecision next = generateAhead.decide(input);
    if (next.stepsAhead() != decision.stepsAhead()) {
      logger.atInfo().log(
          "event=steps_ahead_changed trainer=%s from=%d to=%d reason=\"%s\"",
          trainer, decision.stepsAhead(), next.stepsAhead(), next.reason());
    }
    decision = next;
  }

  private void updateAllowedSteps() {
    if (steps.isEmpty()) {
      return;
    }
    StepNumber base = current == null ? steps.firstKey() : current;
    for (StepOwner owner : ImmutableList.copyOf(steps.values())) {
      long stepsAhead = owner.id().number().value() - base.value();
      if (version != null) {
        owner
            .generator()
            .setDeliveryVersion(versionForecast.forecast(version, stepsAhead, versionsPerStep));
      }
      owner.setStartAllowed(stepsAhead <= decision.stepsAhead(), stepsAhead <= 0);
    }
  }

  private void dropFullySentBefore(StepNumber number) {
    for (StepOwner owner : ImmutableList.copyOf(steps.headMap(number).values())) {
      if (owner.isFullySent()) {
        drop(owner.id().number());
      }
    }
  }

  private static double toSeconds(long nanos) {
    return nanos / (double) Duration.ofSeconds(1).toNanos();
  }
}
