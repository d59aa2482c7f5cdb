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
 * The steps of one trainer, and how far ahead of it they are generated.
 *
 * <p>Used on the decision thread only.
 */
final class TrainerSteps {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double NEWEST_WEIGHT = 0.25;

  private final TrainerId trainer;
  private final RolloutContext context;
  private final GenerateAhead generateAhead;
  private final ForeseenVersion foreseenVersion;
  private final TreeMap<StepNumber, StepOwner> steps = new TreeMap<>();
  private IntervalEstimate generation = IntervalEstimate.none();
  private IntervalEstimate capacity = IntervalEstimate.none();
  private IntervalEstimate training = IntervalEstimate.none();
  private double versionsPerStep = GenerateAhead.MIN_VERSIONS_PER_STEP;
  private GenerateAheadDecision decision = new GenerateAheadDecision(0, "no pull yet");
  private @Nullable StepNumber current;
  private @Nullable WeightVersion version;
  private Optional<Long> wholeNanos = Optional.empty();

  TrainerSteps(
      TrainerId trainer,
      RolloutContext context,
      GenerateAhead generateAhead,
      ForeseenVersion foreseenVersion) {
    this.trainer = trainer;
    this.context = context;
    this.generateAhead = generateAhead;
    this.foreseenVersion = foreseenVersion;
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

  /** Makes room for one more step by dropping a step that the trainer has left behind. */
  boolean makeRoom() {
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
    allowSteps();
  }

  void drop(StepNumber number) {
    StepOwner owner = steps.remove(number);
    if (owner != null) {
      owner.stop();
    }
  }

  /** Drops steps that were not used for {@code time}. */
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

  /** Notes a pull before its owner answers it. */
  void onPull(StepOwner owner, WeightVersion trainerVersion) {
    StepNumber number = owner.id().number();
    if (!number.equals(current)) {
      noteNextStep(number, trainerVersion);
      current = number;
      dropWhollySentBefore(number);
      decide(owner.generator().workClass());
    }
    version = trainerVersion;
    allowSteps();
  }

  /** Notes that a page was sent, after which its owner may have no slot left. */
  void onPageSent(StepOwner owner) {
    if (owner.id().number().equals(current) && wholeNanos.isEmpty() && owner.isWhollySent()) {
      wholeNanos = Optional.of(context.timers().nowNanos());
      owner.generator().times().generation().ifPresent(this::noteGeneration);
      owner.generator().times().capacity().ifPresent(this::noteCapacity);
    }
  }

  TrainerDescription describe() {
    return new TrainerDescription(
        trainer.value(),
        current == null ? -1 : current.value(),
        version == null ? -1 : version.value(),
        decision.stepsAhead(),
        decision.reason());
  }

  private void noteGeneration(Duration time) {
    generation = generation.with(toSeconds(time.toNanos()));
  }

  private void noteCapacity(Duration time) {
    capacity = capacity.with(toSeconds(time.toNanos()));
  }

  private void noteNextStep(StepNumber next, WeightVersion nextVersion) {
    boolean following = current != null && next.value() == current.value() + 1;
    if (following && wholeNanos.isPresent()) {
      training = training.with(toSeconds(context.timers().nowNanos() - wholeNanos.get()));
    }
    if (following && version != null) {
      double made = Math.max(0, nextVersion.value() - version.value());
      versionsPerStep += NEWEST_WEIGHT * (made - versionsPerStep);
    }
    wholeNanos = Optional.empty();
  }

  private void decide(WorkClass workClass) {
    GenerateAheadInput input =
        new GenerateAheadInput(
            workClass.stalenessBound(),
            workClass.weighsMore(),
            versionsPerStep,
            generation,
            capacity,
            training);
    GenerateAheadDecision next = generateAhead.decide(input);
    if (next.stepsAhead() != decision.stepsAhead()) {
      logger.atInfo().log(
          "event=steps_ahead_changed trainer=%s from=%d to=%d reason=\"%s\"",
          trainer, decision.stepsAhead(), next.stepsAhead(), next.reason());
    }
    decision = next;
  }

  private void allowSteps() {
    if (steps.isEmpty()) {
      return;
    }
    StepNumber base = current == null ? steps.firstKey() : current;
    for (StepOwner owner : ImmutableList.copyOf(steps.values())) {
      long ahead = owner.id().number().value() - base.value();
      if (version != null) {
        owner
            .generator()
            .setArrivalVersion(foreseenVersion.onArrival(version, ahead, versionsPerStep));
      }
      owner.setAllowed(ahead <= decision.stepsAhead(), ahead <= 0);
    }
  }

  private void dropWhollySentBefore(StepNumber number) {
    for (StepOwner owner : ImmutableList.copyOf(steps.headMap(number).values())) {
      if (owner.isWhollySent()) {
        drop(owner.id().number());
      }
    }
  }

  private static double toSeconds(long nanos) {
    return nanos / (double) Duration.ofSeconds(1).toNanos();
  }
}
