package org.amaranthstream.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.amaranthstream.config.ClassKind;
import org.amaranthstream.config.PriorityTarget;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.VirtualTimerService;

/** A test harness of two entry VMs, their engines and one trainer, in virtual time. */
final class DeliveryHarness {
  static final int VMS = 2;
  static final int STALENESS_BOUND = 1;
  private static final int MAX_LATE_PAGES = 4;
  private static final int MAX_FINAL_ROUNDS = 200;
  private static final StepId STEP = StepId.of(TrainerId.of("coder"), 3);
  private static final StepSpec SPEC =
      new StepSpec(
          WorkClassId.of("coding"),
          ImmutableList.of(PromptGroup.of("steel bolts"), PromptGroup.of("copper wire")),
          3,
          8,
          11);
  private static final WorkClass WORK_CLASS =
      new WorkClass(
          SPEC.workClass(),
          ClassKind.TRAINING,
          PoolId.of("coders"),
          Duration.ofSeconds(1),
          Duration.ofMinutes(7),
          STALENESS_BOUND,
          PriorityTarget.IDLE_TIME,
          true,
          64);

  final VirtualTimerService timers = VirtualTimerService.create();
  final FakeTrainer trainer = new FakeTrainer(STEP, SPEC, STALENESS_BOUND);
  private final FakeEngines[] engines = new FakeEngines[VMS];
  private final RolloutService[] services = new RolloutService[VMS];
  private final AtomicLong sequence = new AtomicLong();
  private final Deque<Page> inFlightPages = new ArrayDeque<>();
  private final Deque<Page> latePages = new ArrayDeque<>();
  private boolean linked = true;
  private int trainerProcess;

  DeliveryHarness() {
    for (int vm = 0; vm < VMS; vm++) {
      start(vm);
    }
    submit(0);
  }

  private static EntryVmId vmId(int vm) {
    return EntryVmId.of("vm-" + vm);
  }

  private void start(int vm) {
    engines[vm] = new FakeEngines();
    engines[vm].setVersion(trainer.version());
    services[vm] =
        RolloutService.builder()
            .self(vmId(vm))
            .duty(
                task -> {
                  task.run();
                  return true;
                })
            .timers(timers)
            .runner(engines[vm])
            .codec(TestTokens.codec("k1"))
            .classes(id -> Optional.of(WORK_CLASS).filter(c -> c.id().equals(id)))
            .requestIds(this::newRequestId)
            .ownerLink(new Link())
            .limits(new RolloutLimits(4, 3, 1_000, 2, 2, 1_000, Duration.ofHours(1)))
            .build();
  }

  private RequestId newRequestId() {
    return RequestId.of(vmId(0), Incarnation.of("i"), sequence.getAndIncrement());
  }

  FakeEngines engines(int vm) {
    return engines[vm];
  }

  RolloutService service(int vm) {
    return services[vm];
  }

  void submit(int vm) {
    services[vm].submit(
        STEP, SPEC, result -> trainer.onAccepted(((Result.Success<StepAccepted>) result).value()));
  }

  /** Sends the trainer's next pull. Its response stays in flight until it is delivered. */
  void pull(int vm, int max) {
    delayPages();
    PullRequest request = trainer.nextPull(max, Duration.ofSeconds(1));
    int process = trainerProcess;
    services[vm].pull(
        request,
        result -> {
          if (process == trainerProcess) {
            onReply(vm, result);
          }
        });
  }

  /** Sends a pull with {@code token} in place of the trainer's token. */
  void pullWithToken(int vm, String token, Consumer<Result<Page>> consumer) {
    PullRequest template = trainer.nextPull(3, Duration.ZERO);
    PullRequest request =
        new PullRequest(STEP, token, template.pull(), template.trainerVersion(), 3, Duration.ZERO);
    services[vm].pull(request, consumer);
  }

  private void onReply(int vm, Result<Page> result) {
    if (result instanceof Result.Success<Page> page) {
      inFlightPages.add(page.value());
      return;
    }
    ResultCode code = ((Result.Failure<Page>) result).error().code();
    assertThat(code).isEqualTo(ResultCode.UNKNOWN_STEP);
    submit(vm);
  }

  /** Returns the page that {@link #deliverPage} would deliver. */
  Optional<Page> nextPage() {
    return Optional.ofNullable(inFlightPages.peekLast());
  }

  /** Delivers the response to the latest pull. */
  void deliverPage() {
    if (!inFlightPages.isEmpty()) {
      trainer.onPage(inFlightPages.removeLast());
    }
  }

  /** Delivers the response to an earlier pull that timed out. */
  void deliverLatePage() {
    if (!latePages.isEmpty()) {
      trainer.onPage(latePages.removeFirst());
    }
  }

  /** Lets the trainer's pulls time out. Responses in flight become late pages. */
  void delayPages() {
    latePages.addAll(inFlightPages);
    inFlightPages.clear();
    while (latePages.size() > MAX_LATE_PAGES) {
      latePages.removeFirst();
    }
  }

  /** Replaces the service and the engines of {@code vm} by new ones without state. */
  void crash(int vm) {
    start(vm);
  }

  /** Sets whether the entry VMs can reach each other. */
  void setLinked(boolean linked) {
    this.linked = linked;
  }

  /** Restarts the trainer from its checkpoint, which closes its connections. */
  void restartTrainer() {
    trainerProcess++;
    inFlightPages.clear();
    latePages.clear();
    trainer.restartFromCheckpoint();
  }

  /** Trains a new weight version, which only the engines of entry VM 0 load. */
  void newVersion() {
    trainer.train();
    engines[0].setVersion(trainer.version());
  }

  /** Removes all faults, runs until the trainer is done, and checks that it has every slot. */
  void finish() {
    setLinked(true);
    for (int round = 0; round < MAX_FINAL_ROUNDS && !trainer.isDone(); round++) {
      pull(round % VMS, 3);
      for (FakeEngines vmEngines : engines) {
        vmEngines.setRejecting(false);
        vmEngines.setVersion(trainer.version());
        vmEngines.finishAll();
      }
      timers.advance(Duration.ofSeconds(2));
      deliverPage();
    }
    assertWithMessage("slots stored by the trainer")
        .that(trainer.storedSlots())
        .isEqualTo(IntStream.range(0, SPEC.slots()).boxed().toList());
  }

  private final class Link implements OwnerLink {
    @Override
    public boolean isReachable(EntryVmId vm) {
      return linked;
    }

    @Override
    public Optional<EntryVmId> preferredOwner(TrainerId trainer) {
      return Optional.empty();
    }

    @Override
    public void submit(
        EntryVmId vm, StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer) {
      serviceOf(vm).submitForwarded(step, spec, consumer);
    }

    @Override
    public void pull(EntryVmId vm, PullRequest request, Consumer<Result<Page>> consumer) {
      serviceOf(vm).pullForwarded(request, consumer);
    }

    private RolloutService serviceOf(EntryVmId vm) {
      return services[vm.equals(vmId(0)) ? 0 : 1];
    }
  }
}
