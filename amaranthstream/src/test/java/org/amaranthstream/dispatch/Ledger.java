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

/** What the fake servers saw, as the judge of what the dispatcher told its callers. */
final class Ledger {
  private final Fixture fixture;
  private final Map<RequestId, Work> works = new LinkedHashMap<>();
  private final Map<RequestId, RecordingWorkListener> answers = new LinkedHashMap<>();

  Ledger(Fixture fixture) {
    this.fixture = fixture;
    fixture.transport.onStart = this::checkStart;
  }

  void submit(Work work) {
    works.put(work.id(), work);
    RecordingWorkListener listener = new RecordingWorkListener();
    answers.put(work.id(), listener);
    fixture.dispatcher.submit(work, listener);
  }

  List<RequestId> submitted() {
    return List.copyOf(works.keySet());
  }

  private void checkStart(FakeAttempt attempt) {
    BackendView view = fixture.directory.view(attempt.server.id().value());
    String what = "attempt of " + attempt.work.id() + " on " + attempt.server.id();
    assertWithMessage(what + ": leaving").that(view.leaving()).isFalse();
    assertWithMessage(what + ": draining")
        .that(fixture.drainingServers)
        .doesNotContain(fixture.directory.incarnation(attempt.server.id().value()));
    assertWithMessage(what + ": answered").that(answers.get(attempt.work.id()).isDone()).isFalse();
    assertWithMessage(what + ": late")
        .that(attempt.work.deadlineNanos() - fixture.timers.nowNanos())
        .isAtLeast(0);
    attempt.work.minimumVersion().ifPresent(least -> checkVersion(what, view, least));
    checkLimit(attempt.server.id(), view);
    checkSuspects(attempt);
  }

  private static void checkVersion(String what, BackendView view, WeightVersion least) {
    WeightVersion reported = view.report().flatMap(LoadReport::version).orElseThrow();
    assertWithMessage(what + ": version").that(least.isAfter(reported)).isFalse();
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
        assertWithMessage("suspect beside a suspect on " + started.server.id())
            .that(isSuspect(other))
            .isFalse();
      }
    }
  }

  private boolean isSuspect(FakeAttempt attempt) {
    return fixture
        .dispatcher
        .poisonRegistry()
        .isSuspect(Fingerprint.of(attempt.work), fixture.timers.nowNanos());
  }

  /** Checks what must hold at any moment. */
  void check() {
    answers.forEach(this::checkAnswer);
  }

  /** Checks that each request has its one outcome. */
  void checkEnd() {
    check();
    answers.forEach(
        (id, answer) -> assertWithMessage("outcomes of " + id).that(answer.outcomes).hasSize(1));
    assertWithMessage("active requests").that(fixture.dispatcher.active()).isEqualTo(0);
    assertWithMessage("open attempts").that(fixture.transport.open()).isEmpty();
  }

  private void checkAnswer(RequestId id, RecordingWorkListener answer) {
    assertWithMessage("outcomes of " + id).that(answer.outcomes.size()).isAtMost(1);
    long tokens = answer.chunks.stream().mapToLong(Chunk::tokens).sum();
    assertWithMessage("text of " + id)
        .that(answer.text.toString())
        .isEqualTo(FakeTransport.text(tokens));
    if (!works.get(id).idempotent()) {
      assertWithMessage("runs of " + id).that(runs(id)).isAtMost(1);
    }
    if (answer.isDone()) {
      checkOutcome(id, answer.outcome(), tokens);
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
