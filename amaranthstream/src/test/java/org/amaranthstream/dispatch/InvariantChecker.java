package org.amaranthstream.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.dispatch.FakeTransport.FakeAttempt;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendView;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.quarantine.PoisonRegistry;

/**
 * Checker of the dispatcher's invariants. Compares the responses and outcomes that the listeners
 * received with the attempts that the fake servers received.
 */
final class InvariantChecker {
  private final Fixture fixture;
  private final Map<RequestId, Work> submitted = new LinkedHashMap<>();
  private final Map<RequestId, RecordingWorkListener> listeners = new LinkedHashMap<>();

  InvariantChecker(Fixture fixture) {
    this.fixture = fixture;
    fixture.transport.onStart = this::checkStart;
  }

  void submit(Work work) {
    submitted.put(work.id(), work);
    RecordingWorkListener listener = new RecordingWorkListener();
    listeners.put(work.id(), listener);
    fixture.dispatcher.submit(work, listener);
  }

  List<RequestId> submitted() {
    return List.copyOf(submitted.keySet());
  }

  private void checkStart(FakeAttempt attempt) {
    BackendView view = fixture.directory.view(attempt.server.id().value());
    String description = "attempt of " + attempt.work.id() + " on " + attempt.server.id();
    assertWithMessage(description + ": server is leaving").that(view.leaving()).isFalse();
    assertWithMessage(description + ": server is draining")
        .that(fixture.drainingServers)
        .doesNotContain(fixture.directory.incarnation(attempt.server.id().value()));
    assertWithMessage(description + ": request is done")
        .that(listeners.get(attempt.work.id()).isDone())
        .isFalse();
    assertWithMessage(description + ": deadline has passed")
        .that(attempt.work.deadlineNanos() - fixture.timers.nowNanos())
        .isAtLeast(0);
    attempt.work.minimumVersion().ifPresent(minimum -> checkVersion(description, view, minimum));
    checkLimit(attempt.server.id(), view);
    checkSuspects(attempt);
  }

  private static void checkVersion(String description, BackendView view, WeightVersion minimum) {
    WeightVersion reported = view.report().flatMap(LoadReport::version).orElseThrow();
    assertWithMessage(description + ": server's version is too old")
        .that(minimum.isAfter(reported))
        .isFalse();
  }

  private void checkLimit(BackendServerId server, BackendView view) {
    assertWithMessage("open attempts on " + server)
        .that(fixture.transport.openOn(server.value()).size())
        .isAtMost(view.report().orElseThrow().slots());
  }

  private void checkSuspects(FakeAttempt started) {
    if (!isSuspect(started)) {
      return;
    }
    for (FakeAttempt other : fixture.transport.openOn(started.server.id().value())) {
      if (other != started) {
        assertWithMessage("second suspect on " + started.server.id())
            .that(isSuspect(other))
            .isFalse();
      }
    }
  }

  private boolean isSuspect(FakeAttempt attempt) {
    PoisonRegistry registry = fixture.dispatcher.poisonRegistry();
    return !attempt.work.isOwed()
        && registry.isSuspect(WorkFingerprints.of(attempt.work), fixture.timers.nowNanos());
  }

  /** Checks the invariants that hold at any time. */
  void check() {
    listeners.forEach(this::checkResponse);
  }

  /** Checks at the end of a scenario that each request has exactly one outcome. */
  void checkEnd() {
    check();
    listeners.forEach(
        (id, listener) ->
            assertWithMessage("outcomes of " + id).that(listener.outcomes).hasSize(1));
    assertWithMessage("active requests").that(fixture.dispatcher.active()).isEqualTo(0);
    assertWithMessage("open attempts").that(fixture.transport.open()).isEmpty();
  }

  private void checkResponse(RequestId id, RecordingWorkListener listener) {
    assertWithMessage("outcomes of " + id).that(listener.outcomes.size()).isAtMost(1);
    long tokens = listener.chunks.stream().mapToLong(Chunk::tokens).sum();
    assertWithMessage("text of " + id)
        .that(listener.text.toString())
        .isEqualTo(FakeTransport.text(tokens));
    if (!submitted.get(id).idempotent()) {
      assertWithMessage("runs of " + id).that(runs(id)).isAtMost(1);
    }
    if (listener.isDone()) {
      checkOutcome(id, listener.outcome(), tokens);
    }
  }

  private void checkOutcome(RequestId id, Outcome outcome, long tokens) {
    if (outcome instanceof Outcome.NotRun notRun) {
      assertWithMessage("runs of " + id + " with " + notRun).that(runs(id)).isEqualTo(0);
    }
    if (outcome instanceof Outcome.Completed completed) {
      assertWithMessage("tokens of " + id).that(tokens).isEqualTo(completed.answer().tokens());
    }
  }

  private long runs(RequestId id) {
    return fixture.transport.attempts.stream()
        .filter(attempt -> attempt.work.id().equals(id) && attempt.mayHaveRun())
        .count();
  }
}
