package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.decisions.DecisionKind;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.AffinityKey;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.Subscription;
import org.jspecify.annotations.Nullable;

/**
 * The generator of the slots of one step that its trainer has not acknowledged. Not thread safe;
 * used on the decision thread only.
 */
final class StepGenerator {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final StepId id;
  private final StepSpec spec;
  private final RolloutContext context;
  private final Runnable onSlotChange;
  private final ImmutableList<AffinityKey> affinities;
  private final SlotWindow window;
  private final StepDeadline deadline;
  private final GenerationTimes times = new GenerationTimes();
  private final SlotState[] states;
  private final @Nullable Sample[] samples;
  private final @Nullable SlotAttempt[] attempts;
  private final RetryPacing pacing;
  private final BitSet waiting = new BitSet();
  private WorkClass workClass;
  private Optional<WeightVersion> deliveryVersion = Optional.empty();
  private Optional<Long> startedNanos = Optional.empty();
  private @Nullable Subscription retryTimer;
  private boolean allowed;
  private boolean current;
  private boolean stopped;
  private boolean startingSlots;
  private int running;
  private int ready;

  StepGenerator(
      StepId id,
      StepSpec spec,
      WorkClass workClass,
      RolloutContext context,
      Runnable onSlotChange) {
    this.id = id;
    this.spec = spec;
    this.workClass = workClass;
    this.context = context;
    this.onSlotChange = onSlotChange;
    this.affinities =
        spec.groups().stream().map(PromptGroup::affinity).collect(ImmutableList.toImmutableList());
    this.deadline = new StepDeadline(context.timers());
    this.window = new SlotWindow(context.limits().windowSlots());
    this.states = new SlotState[spec.slots()];
    this.samples = new Sample[spec.slots()];
    this.attempts = new SlotAttempt[spec.slots()];
    this.pacing = new RetryPacing(spec.slots(), context.timers().nowNanos());
    Arrays.fill(states, SlotState.WAITING);
    waiting.set(0, spec.slots());
  }

  /** Sets whether new slots may start. The buffer limit applies unless {@code current} is true. */
  void setStartAllowed(boolean allowed, boolean current) {
    this.allowed = allowed;
    this.current = current;
    startSlots();
  }

  /** Sets the version forecast for the trainer's pull, and drops samples too old for it. */
  void setDeliveryVersion(WeightVersion version) {
    if (deliveryVersion.equals(Optional.of(version))) {
      return;
    }
    deliveryVersion = Optional.of(version);
    for (int slot = 0; slot < states.length; slot++) {
      dropIfTooOldAtDelivery(slot);
    }
    startSlots();
  }

  /** Discards the delivered samples, and requeues slots whose samples the trainer lost. */
  void acknowledge(SlotSet delivered) {
    for (int slot = 0; slot < states.length; slot++) {
      if (delivered.contains(slot)) {
        release(slot, SlotState.DELIVERED);
      } else if (states[slot] == SlotState.DELIVERED) {
        release(slot, SlotState.WAITING);
      }
    }
    startSlots();
  }

  /**
   * Returns ready samples within the limits of a page. They stay ready until they are acknowledged.
   * Samples too old for {@code trainerVersion} are dropped and generated again.
   */
  ImmutableList<Sample> collectReady(WeightVersion trainerVersion, int max) {
    List<Sample> collected = new ArrayList<>();
    int chars = 0;
    int maxSamples = Math.min(max, context.limits().maxPageSamples());
    for (int slot = 0; slot < states.length && collected.size() < maxSamples; slot++) {
      if (states[slot] != SlotState.READY) {
        continue;
      }
      Sample sample = samples[slot];
      if (Staleness.isTooOld(sample.oldestVersion(), trainerVersion, stalenessBound())) {
        dropStale(slot, sample, trainerVersion);
        continue;
      }
      chars += sample.text().length();
      if (!collected.isEmpty() && chars > context.limits().maxPageChars()) {
        break;
      }
      collected.add(sample);
    }
    startSlots();
    return ImmutableList.copyOf(collected);
  }

  /** Cancels all running slots and discards all samples. */
  void stop() {
    stopped = true;
    cancelRetryTimer();
    for (int slot = 0; slot < states.length; slot++) {
      release(slot, SlotState.WAITING);
    }
  }

  int running() {
    return running;
  }

  int ready() {
    return ready;
  }

  int waiting() {
    return waiting.cardinality();
  }

  boolean isStartAllowed() {
    return allowed;
  }

  GenerationTimes times() {
    return times;
  }

  WorkClass workClass() {
    workClass = context.classes().find(spec.workClass()).orElse(workClass);
    return workClass;
  }

  private int stalenessBound() {
    return workClass().stalenessBound();
  }

  private void release(int slot, SlotState next) {
    SlotState state = states[slot];
    if (state == next) {
      return;
    }
    if (state == SlotState.RUNNING) {
      SlotAttempt attempt = attempts[slot];
      attempts[slot] = null;
      running--;
      attempt.close();
      context.runner().cancel(attempt.request());
    }
    if (state == SlotState.READY) {
      context.bufferUsage().remove(samples[slot]);
      samples[slot] = null;
      ready--;
    }
    states[slot] = next;
    waiting.set(slot, next == SlotState.WAITING);
  }

  private void dropIfTooOldAtDelivery(int slot) {
    WeightVersion versionAtDelivery = deliveryVersion.orElseThrow();
    if (states[slot] == SlotState.READY) {
      Sample sample = samples[slot];
      if (isTooOldAtDelivery(sample.oldestVersion())) {
        dropStale(slot, sample, versionAtDelivery);
      }
    } else if (states[slot] == SlotState.RUNNING) {
      SlotAttempt attempt = attempts[slot];
      Optional<WeightVersion> oldest = attempt.collector().oldestVersion();
      if (oldest.isPresent() && isTooOldAtDelivery(oldest.get())) {
        cancelStale(slot, attempt, oldest.get(), versionAtDelivery);
      }
    }
  }

  private void dropStale(int slot, Sample sample, WeightVersion trainerVersion) {
    countStale(slot, sample.oldestVersion(), trainerVersion);
    release(slot, SlotState.WAITING);
  }

  private void countStale(int slot, WeightVersion oldest, WeightVersion trainerVersion) {
    context.counters().increment(RolloutEvent.SAMPLE_DROPPED_STALE);
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "event=sample_dropped_stale step=%s slot=%d version=%s trainer_version=%s",
        id, slot, oldest, trainerVersion);
  }

  private void cancelStale(
      int slot, SlotAttempt attempt, WeightVersion oldest, WeightVersion versionAtDelivery) {
    context.counters().increment(RolloutEvent.SAMPLE_CANCELLED_STALE);
    context.record(
        attempt.request(),
        DecisionKind.CANCEL,
        "REGENERATE",
        String.format(
            "slot %d of step %s began at version %s, the trainer will be at %s, bound %d",
            slot, id, oldest, versionAtDelivery, stalenessBound()));
    release(slot, SlotState.WAITING);
  }

  private void startSlots() {
    if (startingSlots) {
      return; // The runner called back during submit; the loop below continues.
    }
    startingSlots = true;
    try {
      while (canStartSlot()) {
        int slot = pacing.nextStartable(waiting, context.timers().nowNanos());
        if (slot < 0) {
          break;
        }
        start(slot);
      }
    } finally {
      startingSlots = false;
    }
    scheduleRetry();
  }

  private boolean canStartSlot() {
    return allowed
        && !stopped
        && running < window.size()
        && (current || !context.bufferUsage().isFull());
  }

  private void start(int slot) {
    RequestId request = context.requestIds().get();
    int group = spec.groupOf(slot);
    SlotAttempt attempt =
        new SlotAttempt(slot, group, request, context.timers().nowNanos(), this::onOutcome);
    states[slot] = SlotState.RUNNING;
    waiting.clear(slot);
    attempts[slot] = attempt;
    running++;
    times.onStart(running);
    context.runner().submit(toWork(slot, group, request), attempt);
  }

  private Work toWork(int slot, int group, RequestId request) {
    Work.Builder work =
        Work.builder()
            .id(request)
            .workClass(spec.workClass())
            .pool(workClass().pool())
            .priority(Priority.TRAINING)
            .affinity(affinities.get(group))
            .payload(
                new Payload.Generate(
                    spec.groups().get(group).prompt(), spec.maxTokens(), spec.seedOf(slot)))
            .deadlineNanos(deadlineNanos());
    deliveryVersion.ifPresent(
        version -> work.minimumVersion(Staleness.oldestAllowed(version, stalenessBound())));
    return work.build();
  }

  private long deadlineNanos() {
    if (startedNanos.isEmpty()) {
      startedNanos = Optional.of(context.timers().nowNanos());
    }
    return deadline.nanos(startedNanos.get(), workClass().stepDeadline(), this::reportLate);
  }

  private void reportLate(Duration overrun) {
    context.counters().increment(RolloutEvent.STEP_LATE);
    logger.atWarning().log(
        "event=step_late step=%s overrun_ms=%d ready=%d running=%d waiting=%d",
        id, overrun.toMillis(), ready, running, waiting());
  }

  private void onOutcome(SlotAttempt attempt, Outcome outcome) {
    int slot = attempt.slot();
    attempts[slot] = null;
    running--;
    if (outcome instanceof Outcome.Completed completed) {
      onCompleted(attempt, completed.answer());
    } else if (outcome instanceof Outcome.NotRun notRun) {
      onNotRun(slot, notRun);
    } else {
      context.counters().increment(RolloutEvent.SLOT_LOST);
      retryLater(slot, pacing.backoff(slot));
    }
    onSlotChange.run();
    startSlots();
  }

  private void onCompleted(SlotAttempt attempt, CompletedResponse response) {
    int slot = attempt.slot();
    Optional<Sample> sample = attempt.collector().toSample(response.tokens());
    if (sample.isEmpty()) {
      context.counters().increment(RolloutEvent.SAMPLE_DROPPED_INVALID);
      context.record(
          attempt.request(),
          DecisionKind.DROP,
          "REGENERATE",
          "the stream from " + response.server() + " names no weight version or has a gap");
      retryLater(slot, pacing.backoff(slot));
      return;
    }
    if (isTooOldAtDelivery(sample.get().oldestVersion())) {
      countStale(slot, sample.get().oldestVersion(), deliveryVersion.orElseThrow());
      retryLater(slot, pacing.backoff(slot));
      return;
    }
    states[slot] = SlotState.READY;
    samples[slot] = sample.get();
    pacing.onSampleComplete(slot);
    times.onSlotComplete(context.timers().nowNanos() - attempt.startedNanos());
    ready++;
    context.bufferUsage().add(sample.get());
    window.onSampleComplete();
    recordIfComplete();
  }

  private boolean isTooOldAtDelivery(WeightVersion oldest) {
    return deliveryVersion.isPresent()
        && Staleness.isTooOld(oldest, deliveryVersion.get(), stalenessBound());
  }

  private void recordIfComplete() {
    if (running == 0 && waiting.isEmpty()) {
      long elapsed = context.timers().nowNanos() - startedNanos.orElseThrow();
      times.onStepComplete(Duration.ofNanos(elapsed));
    }
  }

  private void onNotRun(int slot, Outcome.NotRun notRun) {
    context.counters().increment(RolloutEvent.SLOT_NOT_RUN);
    ResultCode code = notRun.error().code();
    if (code == ResultCode.NOT_RUN_OVERLOADED || code == ResultCode.NOT_RUN_QUEUE_FULL) {
      window.onOverload();
    }
    Duration delay = notRun.retryAfter().orElse(pacing.backoff(slot));
    retryLater(slot, delay);
    pacing.pauseStep(delay, context.timers().nowNanos());
  }

  private void retryLater(int slot, Duration delay) {
    pacing.delaySlot(slot, delay, context.timers().nowNanos());
    states[slot] = SlotState.WAITING;
    waiting.set(slot);
  }

  private void scheduleRetry() {
    cancelRetryTimer();
    if (!canStartSlot() || waiting.isEmpty()) {
      return;
    }
    Duration delay = pacing.timeUntilNextStart(waiting, context.timers().nowNanos());
    retryTimer = context.timers().after(delay, this::startSlots);
  }

  private void cancelRetryTimer() {
    if (retryTimer != null) {
      retryTimer.cancel();
      retryTimer = null;
    }
  }
}
