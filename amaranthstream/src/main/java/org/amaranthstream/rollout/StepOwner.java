package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.result.Result;
import org.jspecify.annotations.Nullable;

/**
 * The owner of one step, which generates its slots and responds to the pulls of its trainer.
 *
 * <p>Keeps each sample until a token acknowledges it. Two owners of one step are safe, because each
 * sends only slots that the pull's token does not contain.
 *
 * <p>Not thread safe; used on the decision thread only.
 */
final class StepOwner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TRAINER_INACTIVITY_TIMEOUT = Duration.ofSeconds(15);

  private final StepId id;
  private final StepSpec spec;
  private final SpecDigest digest;
  private final RolloutContext context;
  private final Consumer<StepOwner> onPageSent;
  private final StepGenerator generator;
  private @Nullable PendingPull pending;
  private long lastUsedNanos;
  private long lastPull;
  private SlotSet sent;
  private SlotSet acknowledged;
  private boolean draining;

  StepOwner(
      StepId id,
      StepSpec spec,
      WorkClass workClass,
      RolloutContext context,
      Consumer<StepOwner> onPageSent) {
    this.id = id;
    this.spec = spec;
    this.digest = spec.digest();
    this.context = context;
    this.onPageSent = onPageSent;
    this.sent = SlotSet.empty(spec.slots());
    this.acknowledged = sent;
    this.generator = new StepGenerator(id, spec, workClass, context, this::onSlotChange);
    recordUse();
  }

  StepId id() {
    return id;
  }

  SpecDigest digest() {
    return digest;
  }

  StepGenerator generator() {
    return generator;
  }

  /** Returns the response to the step's submission. */
  StepAccepted acceptance() {
    recordUse();
    DeliveryToken token = DeliveryToken.initial(id, spec, context.self());
    return new StepAccepted(spec.slots(), context.codec().encode(token));
  }

  /** Responds to a pull at once, when the first sample is ready, or after its maximum wait. */
  void pull(PullRequest request, DeliveryToken token, Consumer<Result<Page>> consumer) {
    recordUse();
    supersedePending();
    lastPull = request.pull();
    acknowledged = token.delivered();
    generator.acknowledge(token.delivered());
    ImmutableList<Sample> samples = collectSamples(request);
    if (!samples.isEmpty() || isComplete(token) || request.maxWait().isZero() || isDrained()) {
      respond(request, token, consumer, samples);
      return;
    }
    pending =
        new PendingPull(
            request,
            token,
            consumer,
            context.timers().after(request.maxWait(), this::completePendingEmpty));
  }

  /** Sets whether new slots may start, and whether the step is the current one. */
  void setStartAllowed(boolean allowed, boolean current) {
    generator.setStartAllowed(allowed && !draining, current);
  }

  /** Starts no further slots. Pulls still receive the samples that are ready or in flight. */
  void drain() {
    draining = true;
    generator.setStartAllowed(false, true);
    if (isDrained()) {
      completePendingEmpty();
    }
  }

  /** Cancels all running slots and ends a waiting pull with an empty page. */
  void stop() {
    draining = true;
    completePendingEmpty();
    generator.stop();
  }

  /**
   * Returns true if no slot is running, no pull is waiting, and no sample is ready for a trainer
   * that still pulls. If an inactive trainer pulls again later, the daemon that it reaches
   * generates the remaining samples again.
   */
  boolean isIdle() {
    boolean noSamplesPending = generator.ready() == 0 || isUnusedFor(TRAINER_INACTIVITY_TIMEOUT);
    return generator.running() == 0 && noSamplesPending && pending == null;
  }

  /** Returns true if every slot was sent in a page or acknowledged by a token. */
  boolean isFullySent() {
    for (int slot = 0; slot < spec.slots(); slot++) {
      if (!sent.contains(slot) && !acknowledged.contains(slot)) {
        return false;
      }
    }
    return true;
  }

  /** Returns true if no pull is waiting and the step was not used for at least {@code time}. */
  boolean isUnusedFor(Duration time) {
    return pending == null && context.timers().nowNanos() - lastUsedNanos >= time.toNanos();
  }

  /** Returns the state of the step for the state dump. */
  StepDescription describe() {
    return new StepDescription(
        id.toString(),
        spec.workClass().value(),
        spec.slots(),
        acknowledged.size(),
        generator.ready(),
        generator.running(),
        generator.waiting(),
        lastPull,
        pending != null,
        generator.isStartAllowed());
  }

  private boolean isDrained() {
    return draining && generator.running() == 0;
  }

  private static boolean isComplete(DeliveryToken token) {
    return token.delivered().size() == token.delivered().slots();
  }

  private void onSlotChange() {
    if (pending == null) {
      return;
    }
    ImmutableList<Sample> samples = collectSamples(pending.request());
    if (!samples.isEmpty() || isDrained()) {
      completePending(samples);
    }
  }

  private void completePendingEmpty() {
    completePending(ImmutableList.of());
  }

  private void completePending(ImmutableList<Sample> samples) {
    PendingPull pull = pending;
    if (pull == null) {
      return;
    }
    pending = null;
    pull.timeout().cancel();
    recordUse();
    respond(pull.request(), pull.token(), pull.consumer(), samples);
  }

  private void supersedePending() {
    if (pending != null) {
      context.counters().increment(RolloutEvent.PULL_SUPERSEDED);
      completePendingEmpty();
    }
  }

  private ImmutableList<Sample> collectSamples(PullRequest request) {
    return generator.collectReady(request.trainerVersion(), request.max());
  }

  private void respond(
      PullRequest request,
      DeliveryToken token,
      Consumer<Result<Page>> consumer,
      ImmutableList<Sample> samples) {
    ImmutableList<Integer> slots =
        samples.stream().map(Sample::slot).collect(ImmutableList.toImmutableList());
    DeliveryToken next = token.next(request.pull(), ownerHint(slots.size()), slots);
    int remaining = spec.slots() - next.delivered().size();
    count(slots);
    onPageSent.accept(this);
    logger.atFine().log(
        "event=page_sent step=%s pull=%d samples=%d remaining=%d",
        id, request.pull(), slots.size(), remaining);
    consumer.accept(
        Result.success(
            new Page(
                request.pull(), context.codec().encode(next), samples, remaining, remaining == 0)));
  }

  private void count(ImmutableList<Integer> slots) {
    context.counters().increment(RolloutEvent.PAGE_SENT);
    for (int slot : slots) {
      context
          .counters()
          .increment(
              sent.contains(slot) ? RolloutEvent.SAMPLE_SENT_AGAIN : RolloutEvent.SAMPLE_SENT);
    }
    sent = sent.with(slots);
  }

  /**
   * Returns this entry VM, or empty if it has no samples left after a page of {@code pageSamples}.
   */
  private Optional<EntryVmId> ownerHint(int pageSamples) {
    boolean hasNoSamplesLeft = isDrained() && generator.ready() <= pageSamples;
    return hasNoSamplesLeft ? Optional.empty() : Optional.of(context.self());
  }

  private void recordUse() {
    lastUsedNanos = context.timers().nowNanos();
  }
}
