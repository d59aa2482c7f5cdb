package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthstream.config.ClassKind;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.Duty;

/**
 * The service that accepts training steps and responds to the pulls of trainers.
 *
 * <p>Thread safe. Each consumer is called exactly once on the decision thread, except that {@code
 * NOT_RUN_QUEUE_FULL} is passed on the calling thread.
 *
 * <pre>{@code
 * RolloutService rollout = RolloutService.builder()...build();
 * rollout.submit(StepId.of(trainer, 7), spec, result -> reply(result));
 * rollout.pull(request, result -> reply(result));
 * }</pre>
 */
public final class RolloutService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(30);

  private final Duty duty;
  private final RolloutContext context;
  private final OwnerLink ownerLink;
  private final GenerateAhead generateAhead;
  private final VersionForecast versionForecast;
  private final Map<TrainerId, TrainerSteps> trainers = new HashMap<>();
  private boolean draining;

  RolloutService(RolloutServiceBuilder builder) {
    this.duty = builder.decisionDuty();
    this.context = builder.context();
    this.ownerLink = builder.peerLink();
    this.generateAhead = builder.stepsAheadPolicy();
    this.versionForecast = builder.forecastPolicy();
    context.timers().every(SWEEP_INTERVAL, this::dropUnused);
  }

  /** Returns a new builder. */
  public static RolloutServiceBuilder builder() {
    return new RolloutServiceBuilder();
  }

  /** Submits a step to the entry VM that owns the trainer's steps, or accepts it locally. */
  public void submit(StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer) {
    offer(() -> routeSubmission(step, spec, consumer), consumer);
  }

  /** Accepts a step that a peer forwarded. Never forwards it again. */
  public void submitForwarded(StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer) {
    offer(() -> consumer.accept(submitLocally(step, spec)), consumer);
  }

  /** Forwards a pull to the entry VM that its token names, or responds to it locally. */
  public void pull(PullRequest request, Consumer<Result<Page>> consumer) {
    offer(() -> routePull(request, consumer, true), consumer);
  }

  /** Responds to a pull that a peer forwarded. Never forwards it again. */
  public void pullForwarded(PullRequest request, Consumer<Result<Page>> consumer) {
    offer(() -> routePull(request, consumer, false), consumer);
  }

  /** Passes the state of all steps to {@code consumer}. */
  public void describe(Consumer<Result<RolloutDescription>> consumer) {
    offer(() -> consumer.accept(Result.success(buildDescription())), consumer);
  }

  /**
   * Begins draining: rejects new steps and starts no further slots. Samples that are ready or in
   * flight are still delivered.
   */
  public void drain() {
    offer(this::drainLocally, ignored -> {});
  }

  /** Passes to {@code consumer} whether a drained service has no samples left to deliver. */
  public void isIdle(Consumer<Result<Boolean>> consumer) {
    offer(
        () -> consumer.accept(Result.success(owners().stream().allMatch(StepOwner::isIdle))),
        consumer);
  }

  /** Cancels all running slots and ends all waiting pulls with an empty page. */
  public void stop() {
    offer(
        () -> {
          draining = true;
          owners().forEach(StepOwner::stop);
        },
        ignored -> {});
  }

  /** Returns the event counters. */
  public RolloutCounters counters() {
    return context.counters();
  }

  private <T> void offer(Runnable task, Consumer<Result<T>> consumer) {
    if (!duty.offer(task)) {
      consumer.accept(
          Result.failure(
              ResultCode.NOT_RUN_QUEUE_FULL, "the decision thread's task queue is full"));
    }
  }

  private void routeSubmission(
      StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer) {
    Optional<EntryVmId> owner =
        ownerLink.preferredOwner(step.trainer()).filter(this::isReachablePeer);
    if (owner.isEmpty()) {
      consumer.accept(submitLocally(step, spec));
      return;
    }
    ownerLink.submit(
        owner.get(),
        step,
        spec,
        result -> consumer.accept(isPeerFailure(result) ? submitLocally(step, spec) : result));
  }

  private Result<StepAccepted> submitLocally(StepId step, StepSpec spec) {
    if (draining) {
      return Result.failure(
          ResultCode.NOT_RUN_SHUTTING_DOWN, "entry VM " + context.self() + " is shutting down");
    }
    Optional<WorkClass> workClass = context.classes().find(spec.workClass());
    if (workClass.isEmpty()) {
      return Result.failure(
          ResultCode.UNKNOWN_CLASS, "class " + spec.workClass() + " is not configured");
    }
    if (workClass.get().kind() != ClassKind.TRAINING) {
      return invalid("class " + spec.workClass() + " is not of kind TRAINING");
    }
    if (spec.maxTokens() > workClass.get().maxTokens()) {
      return invalid(
          String.format(
              "maxTokens is %d, class %s allows %d",
              spec.maxTokens(), spec.workClass(), workClass.get().maxTokens()));
    }
    return accept(step, spec, workClass.get());
  }

  private Result<StepAccepted> accept(StepId step, StepSpec spec, WorkClass workClass) {
    TrainerSteps trainer = trainers.get(step.trainer());
    if (trainer == null) {
      if (trainers.size() >= context.limits().maxTrainers()) {
        return overloaded(
            "steps of "
                + trainers.size()
                + " trainers are open on this entry VM, which is the maximum");
      }
      trainer = new TrainerSteps(step.trainer(), context, generateAhead, versionForecast);
      trainers.put(step.trainer(), trainer);
    }
    Optional<StepOwner> known = trainer.find(step.number());
    if (known.isPresent() && known.get().digest().equals(spec.digest())) {
      return Result.success(known.get().acceptance());
    }
    trainer.drop(step.number());
    if (!trainer.ensureCapacity()) {
      return overloaded(
          "too many steps of trainer " + step.trainer() + " are open on this entry VM");
    }
    StepOwner owner = new StepOwner(step, spec, workClass, context, trainer::onPageSent);
    trainer.add(owner);
    context.counters().increment(RolloutEvent.STEP_ACCEPTED);
    logger.atInfo().log("event=step_accepted step=%s slots=%d", step, spec.slots());
    return Result.success(owner.acceptance());
  }

  private void routePull(PullRequest request, Consumer<Result<Page>> consumer, boolean mayForward) {
    Result<DeliveryToken> decoded = validate(request, context.codec().decode(request.token()));
    if (decoded instanceof Result.Failure<DeliveryToken> failure) {
      context.counters().increment(RolloutEvent.TOKEN_REFUSED);
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "event=token_refused step=%s reason=\"%s\"", request.step(), failure.error().message());
      consumer.accept(Result.failure(failure.error()));
      return;
    }
    DeliveryToken token = ((Result.Success<DeliveryToken>) decoded).value();
    Optional<EntryVmId> owner = token.owner().filter(this::isReachablePeer);
    if (mayForward && owner.isPresent()) {
      forwardPull(owner.get(), request, token, consumer);
    } else {
      pullLocally(request, token, consumer);
    }
  }

  /** Rejects a token of another step, or of a page that the trainer cannot have received yet. */
  private static Result<DeliveryToken> validate(
      PullRequest request, Result<DeliveryToken> decoded) {
    if (!(decoded instanceof Result.Success<DeliveryToken> success)) {
      return decoded;
    }
    DeliveryToken token = success.value();
    if (!token.step().equals(request.step())) {
      return Result.failure(
          ResultCode.INVALID_TOKEN,
          "the token belongs to step "
              + token.step()
              + ", but the pull requests step "
              + request.step());
    }
    if (token.pull() >= request.pull()) {
      return Result.failure(
          ResultCode.INVALID_TOKEN,
          "the token has pull number "
              + token.pull()
              + ", which is not below this pull's number "
              + request.pull());
    }
    return decoded;
  }

  private void forwardPull(
      EntryVmId owner, PullRequest request, DeliveryToken token, Consumer<Result<Page>> consumer) {
    context.counters().increment(RolloutEvent.PULL_FORWARDED);
    ownerLink.pull(
        owner,
        request,
        result -> {
          if (isPeerFailure(result)) {
            pullLocally(request, token, consumer);
          } else {
            dropLocalCopy(request.step());
            consumer.accept(result);
          }
        });
  }

  /** Drops the local copy of a step that another entry VM generates. */
  private void dropLocalCopy(StepId step) {
    TrainerSteps trainer = trainers.get(step.trainer());
    if (trainer != null) {
      trainer.drop(step.number());
    }
  }

  private void pullLocally(
      PullRequest request, DeliveryToken token, Consumer<Result<Page>> consumer) {
    TrainerSteps trainer = trainers.get(request.step().trainer());
    Optional<StepOwner> owner =
        Optional.ofNullable(trainer)
            .flatMap(steps -> steps.find(request.step().number()))
            .filter(step -> step.digest().equals(token.specification()));
    if (owner.isEmpty() || (draining && owner.get().isIdle())) {
      consumer.accept(
          Result.failure(
              ResultCode.UNKNOWN_STEP,
              "step "
                  + request.step()
                  + " of this token is not open on this entry VM; submit the step again"));
      return;
    }
    trainer.onPull(owner.get(), request.trainerVersion());
    owner.get().pull(request, token, consumer);
  }

  private boolean isReachablePeer(EntryVmId vm) {
    return !vm.equals(context.self()) && ownerLink.isReachable(vm);
  }

  /** Returns true if the request failed at the peer and can be processed locally instead. */
  private static boolean isPeerFailure(Result<?> result) {
    if (!(result instanceof Result.Failure<?> failure)) {
      return false;
    }
    return switch (failure.error().code()) {
      case PEER_UNREACHABLE,
          UNKNOWN_STEP,
          NOT_RUN_QUEUE_FULL,
          NOT_RUN_OVERLOADED,
          NOT_RUN_SHUTTING_DOWN ->
          true;
      default -> false;
    };
  }

  private void drainLocally() {
    draining = true;
    owners().forEach(StepOwner::drain);
  }

  private void dropUnused() {
    for (TrainerSteps trainer : trainers.values()) {
      int dropped = trainer.dropUnused(context.limits().stepRetention());
      for (int i = 0; i < dropped; i++) {
        context.counters().increment(RolloutEvent.STEP_EXPIRED);
      }
    }
    trainers.values().removeIf(TrainerSteps::isEmpty);
  }

  private RolloutDescription buildDescription() {
    return new RolloutDescription(
        owners().stream().map(StepOwner::describe).collect(ImmutableList.toImmutableList()),
        trainers.values().stream()
            .map(TrainerSteps::describe)
            .collect(ImmutableList.toImmutableList()),
        context.bufferUsage().chars(),
        draining,
        context.counters().snapshot());
  }

  private List<StepOwner> owners() {
    List<StepOwner> owners = new ArrayList<>();
    trainers.values().forEach(trainer -> owners.addAll(trainer.owners()));
    return owners;
  }

  private static <T> Result<T> invalid(String message) {
    return Result.failure(ResultCode.INVALID_REQUEST, message);
  }

  private static <T> Result<T> overloaded(String message) {
    return Result.failure(ResultCode.NOT_RUN_OVERLOADED, message);
  }
}
