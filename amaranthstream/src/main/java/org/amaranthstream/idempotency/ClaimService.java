package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.amaranthstream.decisions.DecisionKind;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.decisions.DecisionRecord;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * The service that claims idempotency keys, so that at most one request runs for each key in the
 * whole fleet.
 *
 * <p>A key that a caller created is claimed by compare-and-swap on its claim page. A key that an
 * entry VM issued exists only in the memory of the issuing incarnation, and no other incarnation
 * runs its request. If it is unknown whether a request ran, it counts as run. Must be used on the
 * decision thread.
 *
 * <pre>{@code
 * claims.claim(request, decision -> {
 *   if (decision instanceof ClaimDecision.Run run) {
 *     // Run the request, then call claims.finish(run.handle(), response), or
 *     // claims.release(run.handle()) if it was not run.
 *   }
 * });
 * }</pre>
 */
public final class ClaimService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration NEVER_RUN_RETRY_AFTER = Duration.ofMillis(500);

  private final Claimant self;
  private final TimerService timers;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final ClaimLimits limits;
  private final ClaimantLink link;
  private final OutcomeLookup lookup;
  private final DecisionLog decisionLog;
  private final ClaimCounters counters;
  private final ClaimPageWriter writer;
  private final LocalClaims local;
  private final IssuedKeys issued = new IssuedKeys();

  ClaimService(ClaimServiceBuilder builder) {
    this.self = builder.claimant();
    this.timers = builder.timerService();
    this.clock = builder.wallClock();
    this.random = builder.randomness();
    this.limits = builder.claimLimits();
    this.link = builder.claimantLink();
    this.lookup = builder.outcomeLookup();
    this.decisionLog = builder.decisions();
    this.counters = builder.claimCounters();
    this.writer = builder.pageWriter();
    this.local = new LocalClaims(limits.maxLocalClaims(), limits.maxResponseBytes());
  }

  /** Returns a builder. */
  public static ClaimServiceBuilder builder() {
    return new ClaimServiceBuilder();
  }

  /**
   * Issues a key under which only this incarnation runs a request. The key can be used while the
   * key-value service is unavailable.
   */
  public IdempotencyKey issueKey() {
    IdempotencyKey key =
        IdempotencyKey.issue(self, clock.instant(), random.nextLong(), random.nextLong());
    issued.add(key);
    counters.increment(ClaimEvent.KEY_ISSUED);
    return key;
  }

  /**
   * Claims the key of a request. Calls the consumer with the decision exactly once, possibly before
   * this method returns.
   */
  public void claim(ClaimRequest request, Consumer<ClaimDecision> consumer) {
    Consumer<ClaimDecision> recordingConsumer =
        decision -> consumer.accept(record(request, decision));
    IdempotencyKey key;
    try {
      key = IdempotencyKey.parse(request.key());
    } catch (IllegalArgumentException e) {
      recordingConsumer.accept(
          refused(ResultCode.INVALID_REQUEST, "Idempotency-Key: " + e.getMessage()));
      return;
    }
    KeyDigest digest = KeyDigest.of(request.caller(), request.workClass(), key);
    Optional<ClaimDecision> known = fromMemory(digest).or(() -> checkAge(key));
    if (known.isPresent()) {
      recordingConsumer.accept(known.get());
    } else if (key.issuer().isPresent()) {
      claimIssued(key, digest, recordingConsumer);
    } else {
      claimOnPage(digest, ClaimPageId.of(digest, key.created(), limits), recordingConsumer);
    }
  }

  /** Records the response of a request that ran, to return it to later requests with the key. */
  public void finish(ClaimHandle handle, CachedResponse response) {
    local.find(handle.key()).ifPresent(claim -> local.put(handle.key(), claim.end(response)));
  }

  /** Releases a claim whose request was not run, so that a later request may use the key. */
  public void release(ClaimHandle handle) {
    counters.increment(ClaimEvent.RELEASED);
    local.find(handle.key()).ifPresent(claim -> local.put(handle.key(), claim.abandon()));
    if (handle.stored()) {
      send(handle.page(), new PageUpdate.Release(handle.key(), handle.nonce()), result -> {});
    }
  }

  /**
   * Applies a page update that a peer forwarded. Calls the consumer exactly once, possibly before
   * this method returns.
   */
  public void applyForwarded(
      ClaimPageId page, PageUpdate update, Consumer<PageUpdateResult> consumer) {
    writer.write(page, update, consumer);
  }

  /**
   * Returns the state of the request for which this incarnation wrote {@code claim}. If the claim
   * was abandoned but is still on its page, also sends an update that releases it.
   */
  public PreviousAttempt previousAttempt(ClaimPageId page, Claim claim) {
    if (!claim.claimant().equals(self)) {
      return new PreviousAttempt.Unknown();
    }
    Optional<LocalClaim> known = local.find(claim.key());
    boolean isIdle = known.isPresent() && !known.get().isInUse();
    if (isIdle && known.get().abandonedNonces().contains(claim.nonce())) {
      send(page, new PageUpdate.Release(claim.key(), claim.nonce()), result -> {});
      return new PreviousAttempt.NeverRun();
    }
    return fromClaim(known);
  }

  /** Returns the state of the request with a key that this incarnation issued. */
  public PreviousAttempt previousAttemptWithIssuedKey(KeyDigest digest, IdempotencyKey key) {
    return issued.contains(key) ? new PreviousAttempt.NeverRun() : fromClaim(local.find(digest));
  }

  /** Returns the event counters. */
  public ClaimCounters counters() {
    return counters;
  }

  /** Returns a summary for the state dump. */
  public ClaimDescription describe() {
    return new ClaimDescription(
        local.size(), local.responseBytes(), issued.size(), counters.snapshot());
  }

  private Optional<ClaimDecision> fromMemory(KeyDigest digest) {
    Optional<LocalClaim> known = local.find(digest);
    if (known.isEmpty() || known.get().state() == LocalState.GIVEN_UP) {
      return Optional.empty();
    }
    if (known.get().isInUse()) {
      return Optional.of(new ClaimDecision.DuplicateRunning());
    }
    return Optional.of(new ClaimDecision.AlreadyRan(known.get().response()));
  }

  private Optional<ClaimDecision> checkAge(IdempotencyKey key) {
    Instant now = clock.instant();
    if (key.created().isBefore(now.minus(limits.window()))) {
      return Optional.of(
          refused(
              ResultCode.NOT_RUN_KEY_EXPIRED,
              "key of " + key.created() + " is older than " + limits.window()));
    }
    if (key.created().isAfter(now.plus(limits.clockSkew()))) {
      return Optional.of(
          refused(
              ResultCode.INVALID_REQUEST,
              "key of " + key.created() + " is in the future, it is " + now));
    }
    return Optional.empty();
  }

  private void claimIssued(IdempotencyKey key, KeyDigest digest, Consumer<ClaimDecision> consumer) {
    Claimant issuer = key.issuer().orElseThrow();
    if (!issuer.equals(self)) {
      lookup.lookUpIssued(
          issuer, digest, key, previous -> consumer.accept(fromIssuer(issuer, previous)));
      return;
    }
    Optional<LocalClaim> abandoned = local.find(digest);
    if (!issued.take(key) && abandoned.isEmpty()) {
      consumer.accept(new ClaimDecision.AlreadyRan(Optional.empty()));
      return;
    }
    ClaimNonce nonce = nextNonce();
    local.put(digest, LocalClaim.claiming(nonce, ImmutableList.of()).run());
    ClaimPageId page = ClaimPageId.of(digest, key.created(), limits);
    consumer.accept(new ClaimDecision.Run(new ClaimHandle(digest, nonce, page, false)));
  }

  private void claimOnPage(KeyDigest digest, ClaimPageId page, Consumer<ClaimDecision> consumer) {
    ImmutableList<ClaimNonce> abandonedNonces =
        local.find(digest).map(LocalClaim::abandonedNonces).orElse(ImmutableList.of());
    LocalClaim claiming = LocalClaim.claiming(nextNonce(), abandonedNonces);
    local.put(digest, claiming);
    Claim claim = Claim.held(digest, claiming.nonce(), self);
    send(
        page,
        new PageUpdate.Acquire(claim, abandonedNonces),
        result -> onUpdateResult(page, digest, claiming, result, consumer));
  }

  private void onUpdateResult(
      ClaimPageId page,
      KeyDigest digest,
      LocalClaim claiming,
      PageUpdateResult result,
      Consumer<ClaimDecision> consumer) {
    if (result instanceof PageUpdateResult.Applied) {
      local.put(digest, claiming.run());
      consumer.accept(new ClaimDecision.Run(new ClaimHandle(digest, claiming.nonce(), page, true)));
      return;
    }
    local.put(digest, claiming.abandon());
    if (result instanceof PageUpdateResult.HeldBy held) {
      onHeld(page, held.claim(), consumer);
      return;
    }
    PageUpdateResult.Unavailable unavailable = (PageUpdateResult.Unavailable) result;
    consumer.accept(unavailable(unavailable.reason(), unavailable.retryAfter()));
  }

  private void onHeld(ClaimPageId page, Claim claim, Consumer<ClaimDecision> consumer) {
    if (claim.claimant().equals(self)) {
      consumer.accept(new ClaimDecision.AlreadyRan(Optional.empty()));
      return;
    }
    lookup.lookUp(
        claim.claimant(), page, claim, previous -> consumer.accept(fromHolder(claim, previous)));
  }

  private static ClaimDecision fromHolder(Claim claim, PreviousAttempt previous) {
    if (previous instanceof PreviousAttempt.NeverRun) {
      return unavailable(
          "entry VM " + claim.claimant().vm() + " is releasing its claim", NEVER_RUN_RETRY_AFTER);
    }
    return fromPreviousAttempt(previous);
  }

  private static ClaimDecision fromIssuer(Claimant issuer, PreviousAttempt previous) {
    if (previous instanceof PreviousAttempt.NeverRun) {
      return unavailable(
          "only entry VM " + issuer.vm() + " runs the key that it issued", NEVER_RUN_RETRY_AFTER);
    }
    return fromPreviousAttempt(previous);
  }

  private static ClaimDecision fromPreviousAttempt(PreviousAttempt previous) {
    if (previous instanceof PreviousAttempt.Running) {
      return new ClaimDecision.DuplicateRunning();
    }
    if (previous instanceof PreviousAttempt.Ended ended) {
      return new ClaimDecision.AlreadyRan(Optional.of(ended.response()));
    }
    return new ClaimDecision.AlreadyRan(Optional.empty());
  }

  private static PreviousAttempt fromClaim(Optional<LocalClaim> known) {
    if (known.isEmpty()) {
      return new PreviousAttempt.Unknown();
    }
    return switch (known.get().state()) {
      case CLAIMING, RUNNING -> new PreviousAttempt.Running();
      case ENDED -> new PreviousAttempt.Ended(known.get().response().orElseThrow());
      case GIVEN_UP -> new PreviousAttempt.Unknown();
    };
  }

  /**
   * Forwards an update to the preferred claimant of its page. Writes the page locally if there is
   * no other preferred claimant or if forwarding fails.
   */
  private void send(ClaimPageId page, PageUpdate update, Consumer<PageUpdateResult> consumer) {
    Optional<EntryVmId> preferred = link.preferred(page).filter(vm -> !vm.equals(self.vm()));
    if (preferred.isEmpty()) {
      writer.write(page, update, consumer);
      return;
    }
    counters.increment(ClaimEvent.ORDER_FORWARDED);
    link.forward(
        preferred.get(),
        page,
        update,
        result -> {
          if (result instanceof PageUpdateResult.Unavailable) {
            writer.write(page, update, consumer);
          } else {
            consumer.accept(result);
          }
        });
  }

  private ClaimNonce nextNonce() {
    return ClaimNonce.of(random.nextLong());
  }

  private ClaimDecision record(ClaimRequest request, ClaimDecision decision) {
    ClaimEvent event = ClaimDecisions.eventOf(decision);
    counters.increment(event);
    RequestId id = request.request();
    String reason = ClaimDecisions.reasonOf(decision);
    decisionLog.record(
        new DecisionRecord(id, DecisionKind.CLAIM, event.name(), reason, timers.nowNanos()));
    logger.atFine().log("event=claim request=%s decision=%s", id, event);
    return decision;
  }

  private static ClaimDecision refused(ResultCode code, String message) {
    return new ClaimDecision.Refused(ErrorDetail.of(code, message), Optional.empty());
  }

  private static ClaimDecision unavailable(String reason, Duration retryAfter) {
    String message = "the key was not claimed: " + reason + "; send it again with the same key";
    return new ClaimDecision.Refused(
        ErrorDetail.of(ResultCode.NOT_RUN_CLAIM_UNAVAILABLE, message), Optional.of(retryAfter));
  }
}
