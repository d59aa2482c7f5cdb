package org.amaranthstream.idempotency;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.platform.FaultyKeyValueStore;
import org.amaranthstream.platform.FaultyKeyValueStore.Fault;
import org.amaranthstream.time.VirtualTimerService;

/** A simulation of two entry VMs with a key-value service and a backend server, in virtual time. */
final class ClaimTestCluster {
  static final int VMS = 2;
  static final int KEYS = 3;
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final int MAX_FINAL_ROUNDS = 40;
  private static final long UUID_VERSION_BITS = 0x7000L;
  private static final long UUID_VARIANT_BITS = 1L << 63;

  final VirtualTimerService timers = VirtualTimerService.create();
  final FaultyKeyValueStore store = FaultyKeyValueStore.create();
  final CountingBackend backend = new CountingBackend();
  private final ClaimService[] claims = new ClaimService[VMS];
  private final ClaimingRunner[] runners = new ClaimingRunner[VMS];
  private final Claimant[] claimants = new Claimant[VMS];
  private final List<String> keys = new ArrayList<>();
  private final Set<Integer> sent = new HashSet<>();
  private final Set<Integer> completed = new HashSet<>();
  private final ClaimLimits limits;
  private boolean linked = true;
  private boolean forwardRepliesLost;
  private boolean restarted;
  private int incarnations;
  private int requests;

  ClaimTestCluster() {
    this(ClaimLimits.defaults());
  }

  ClaimTestCluster(ClaimLimits limits) {
    this.limits = limits;
    for (int vm = 0; vm < VMS; vm++) {
      start(vm);
    }
    for (int key = 0; key < KEYS; key++) {
      keys.add(keyCreatedAt(START.plusMillis(key)));
    }
  }

  /** Returns a caller's key with the given creation time. */
  static String keyCreatedAt(Instant time) {
    long mostSignificantBits = (time.toEpochMilli() << 16) | UUID_VERSION_BITS;
    return new UUID(mostSignificantBits, UUID_VARIANT_BITS | 1).toString();
  }

  Instant now() {
    return START.plusNanos(timers.nowNanos());
  }

  private void start(int vm) {
    claimants[vm] = Claimant.of(EntryVmId.of("vm-" + vm), Incarnation.of("i" + incarnations++));
    claims[vm] =
        ClaimService.builder()
            .self(claimants[vm])
            .store(store)
            .duty(
                task -> {
                  task.run();
                  return true;
                })
            .timers(timers)
            .clock(this::now)
            .random(new Random(incarnations))
            .limits(limits)
            .link(new Link())
            .lookup(new Lookup())
            .build();
    runners[vm] = ClaimingRunner.of(claims[vm], backend);
  }

  ClaimService claims(int vm) {
    return claims[vm];
  }

  /** Replaces an entry VM's claim service by an empty one with a new incarnation. */
  void restart(int vm) {
    restarted = true;
    start(vm);
  }

  void setLinked(boolean linked) {
    this.linked = linked;
  }

  void setForwardRepliesLost(boolean lost) {
    this.forwardRepliesLost = lost;
  }

  /** Replaces a key by one that an entry VM issues, unless the key was already sent. */
  void issueKey(int key, int vm) {
    if (!sent.contains(key)) {
      keys.set(key, claims[vm].issueKey().text());
    }
  }

  String key(int index) {
    return keys.get(index);
  }

  List<Outcome> send(int key, int vm) {
    sent.add(key);
    List<Outcome> outcomes = new ArrayList<>();
    send(keys.get(key), "/" + key, vm, outcomes::add);
    return outcomes;
  }

  void send(String key, String path, int vm, Consumer<Outcome> consumer) {
    Claimant claimant = claimants[vm];
    Work work =
        Work.builder()
            .id(RequestId.of(claimant.vm(), claimant.incarnation(), requests++))
            .workClass(WorkClassId.of("order"))
            .pool(PoolId.of("shop"))
            .priority(Priority.INTERACTIVE)
            .idempotent(false)
            .payload(new Payload.Call(path, "text/plain", new byte[0]))
            .build();
    runners[vm].run(CallerId.of("counter"), key, work, new Receiver(consumer));
  }

  /** Checks that no key has run more than once. */
  void checkAtMostOnce() {
    for (int key = 0; key < KEYS; key++) {
      assertWithMessage("runs of key %s", key).that(backend.runsOf("/" + key)).isAtMost(1);
    }
  }

  /**
   * Ends all faults and sends each key again until it is completed, or for at most 40 rounds.
   * Checks that no key has run twice, and that each has run if no entry VM was restarted.
   */
  void finish() {
    store.setFault(Fault.NONE);
    store.setStaleReads(false);
    store.completeHeldCalls();
    backend.setRefusing(false);
    linked = true;
    forwardRepliesLost = false;
    timers.advance(Duration.ofSeconds(5));
    for (int round = 0; round < MAX_FINAL_ROUNDS && completed.size() < KEYS; round++) {
      for (int key = 0; key < KEYS; key++) {
        int index = key;
        Consumer<Outcome> consumer = outcome -> recordFinalOutcome(index, outcome);
        send(keys.get(key), "/" + key, round % VMS, consumer);
      }
      timers.advance(Duration.ofSeconds(1));
      backend.finishAll();
    }
    checkAtMostOnce();
    for (int key = 0; !restarted && key < KEYS; key++) {
      assertWithMessage("runs of key %s", key).that(backend.runsOf("/" + key)).isEqualTo(1);
    }
  }

  private void recordFinalOutcome(int key, Outcome outcome) {
    if (outcome instanceof Outcome.Completed) {
      completed.add(key);
    }
  }

  private int indexOf(EntryVmId vm) {
    return vm.equals(claimants[0].vm()) ? 0 : 1;
  }

  private record Receiver(Consumer<Outcome> consumer) implements WorkListener {
    @Override
    public void onChunk(Chunk chunk) {}

    @Override
    public void onOutcome(Outcome outcome) {
      consumer.accept(outcome);
    }
  }

  /** A link that prefers the first entry VM for every page. */
  private final class Link implements ClaimantLink {
    @Override
    public Optional<EntryVmId> preferred(ClaimPageId page) {
      return linked ? Optional.of(claimants[0].vm()) : Optional.empty();
    }

    @Override
    public void forward(
        EntryVmId vm, ClaimPageId page, PageUpdate update, Consumer<PageUpdateResult> consumer) {
      boolean lost = forwardRepliesLost;
      claims[indexOf(vm)].applyForwarded(
          page,
          update,
          result ->
              consumer.accept(
                  lost
                      ? new PageUpdateResult.Unavailable("peer is unreachable", Duration.ZERO)
                      : result));
    }
  }

  /** A lookup that queries the claim service of the claimant directly. */
  private final class Lookup implements OutcomeLookup {
    @Override
    public void lookUp(
        Claimant claimant, ClaimPageId page, Claim claim, Consumer<PreviousAttempt> consumer) {
      consumer.accept(
          linked
              ? claims[indexOf(claimant.vm())].previousAttempt(page, claim)
              : new PreviousAttempt.Unknown());
    }

    @Override
    public void lookUpIssued(
        Claimant issuer, KeyDigest digest, IdempotencyKey key, Consumer<PreviousAttempt> consumer) {
      boolean reachable = linked && claimants[indexOf(issuer.vm())].equals(issuer);
      consumer.accept(
          reachable
              ? claims[indexOf(issuer.vm())].previousAttemptWithIssuedKey(digest, key)
              : new PreviousAttempt.Unknown());
    }
  }
}
