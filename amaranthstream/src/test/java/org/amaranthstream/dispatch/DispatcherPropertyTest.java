package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.FakeTransport.FakeAttempt;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;

/** Promises that hold whatever the order of events. */
class DispatcherPropertyTest {
  private static final int SERVERS = 4;
  private static final int MAX_ACTIONS = 120;

  /** What happens next. */
  enum Kind {
    SUBMIT_INTERACTIVE,
    SUBMIT_TRAINING,
    SUBMIT_NON_IDEMPOTENT,
    SUBMIT_POISON,
    SEND,
    TOKENS,
    FINISH,
    CRASH_SERVER,
    BREAK,
    NOT_SENT,
    REJECT,
    DRAIN,
    FAIL,
    GAP,
    TRUNCATE,
    LATE_EVENT,
    CANCEL,
    LEAVE,
    NEW_VERSION,
    ADVANCE
  }

  /**
   * One event.
   *
   * @param kind what happens
   * @param pick which request, attempt or server it happens to
   */
  record Action(Kind kind, int pick) {}

  @Provide
  Arbitrary<List<Action>> actions() {
    Arbitrary<Kind> kinds =
        Arbitraries.frequency(
            Tuple.of(6, Kind.SUBMIT_INTERACTIVE),
            Tuple.of(4, Kind.SUBMIT_TRAINING),
            Tuple.of(4, Kind.SUBMIT_NON_IDEMPOTENT),
            Tuple.of(1, Kind.SUBMIT_POISON),
            Tuple.of(4, Kind.SEND),
            Tuple.of(12, Kind.TOKENS),
            Tuple.of(8, Kind.FINISH),
            Tuple.of(1, Kind.CRASH_SERVER),
            Tuple.of(2, Kind.BREAK),
            Tuple.of(2, Kind.NOT_SENT),
            Tuple.of(2, Kind.REJECT),
            Tuple.of(1, Kind.DRAIN),
            Tuple.of(1, Kind.FAIL),
            Tuple.of(1, Kind.GAP),
            Tuple.of(1, Kind.TRUNCATE),
            Tuple.of(3, Kind.LATE_EVENT),
            Tuple.of(2, Kind.CANCEL),
            Tuple.of(1, Kind.LEAVE),
            Tuple.of(1, Kind.NEW_VERSION),
            Tuple.of(4, Kind.ADVANCE));
    return Combinators.combine(kinds, Arbitraries.integers().between(0, 1000))
        .as(Action::new)
        .list()
        .ofMaxSize(MAX_ACTIONS);
  }

  @Property(tries = 2000, seed = "20261203")
  void givesEachRequestOneTrueOutcome(@ForAll("actions") List<Action> actions) {
    Scenario scenario = new Scenario();
    for (Action action : actions) {
      scenario.apply(action);
      scenario.ledger.check();
    }
    scenario.fixture.advanceMillis(Duration.ofMinutes(2).toMillis());
    scenario.ledger.checkEnd();
  }

  /** The dispatcher and what has happened to it. */
  private static final class Scenario {
    private final Fixture fixture = new Fixture();
    private final Ledger ledger = new Ledger(fixture);
    private long version = 7;
    private int incarnations;

    private Scenario() {
      for (int i = 0; i < SERVERS; i++) {
        fixture.directory.add(name(i), 3, version);
      }
    }

    private static String name(int pick) {
      return "e" + pick % SERVERS;
    }

    private void apply(Action action) {
      int pick = action.pick();
      switch (action.kind()) {
        case SUBMIT_INTERACTIVE -> ledger.submit(generate(pick).build());
        case SUBMIT_TRAINING -> ledger.submit(training(pick));
        case SUBMIT_NON_IDEMPOTENT -> ledger.submit(fixture.call().idempotent(false).build());
        case SUBMIT_POISON ->
            ledger.submit(generate(pick).payload(new Payload.Generate("bad", 8, 0)).build());
        case CRASH_SERVER -> crash(name(pick));
        case CANCEL -> cancel(pick);
        case LEAVE -> fixture.directory.drain(name(pick));
        case NEW_VERSION -> newVersion(pick);
        case ADVANCE -> fixture.advanceMillis(pick);
        case LATE_EVENT -> late(pick);
        default -> applyToAttempt(action.kind(), pick);
      }
    }

    private Work.Builder generate(int pick) {
      Work.Builder work = fixture.work();
      return pick % 4 == 0 ? work.minimumVersion(WeightVersion.of(version)) : work;
    }

    private Work training(int pick) {
      return generate(pick)
          .priority(Priority.TRAINING)
          .deadlineNanos(fixture.timers.nowNanos() + Duration.ofSeconds(60).toNanos())
          .build();
    }

    private void applyToAttempt(Kind kind, int pick) {
      List<FakeAttempt> open = fixture.transport.open();
      if (open.isEmpty()) {
        return;
      }
      FakeAttempt attempt = open.get(pick % open.size());
      boolean generates = attempt.work.payload() instanceof Payload.Generate;
      switch (kind) {
        case SEND -> attempt.send();
        case TOKENS -> attempt.tokens(generates ? 1 + pick % 4 : 0, versionOf(attempt));
        case FINISH -> attempt.finish();
        case BREAK -> attempt.crash();
        case NOT_SENT -> attempt.end(new AttemptEnd.NotSent("refused"));
        case REJECT -> rejectIfUnanswered(attempt, false);
        case DRAIN -> rejectIfUnanswered(attempt, true);
        case FAIL -> {
          attempt.send();
          attempt.end(new AttemptEnd.Failed("500"));
        }
        case TRUNCATE -> attempt.finishAt(attempt.offset + (generates ? 1 : 0));
        case GAP -> {
          attempt.offset += 2;
          attempt.tokens(generates ? 1 : 0, versionOf(attempt));
        }
        default -> throw new AssertionError(kind);
      }
    }

    private void rejectIfUnanswered(FakeAttempt attempt, boolean draining) {
      if (attempt.offset == attempt.startOffset) {
        attempt.reject(draining);
      }
    }

    private long versionOf(FakeAttempt attempt) {
      return fixture
          .directory
          .view(attempt.server.id().value())
          .report()
          .flatMap(report -> report.version())
          .orElseThrow()
          .value();
    }

    private void late(int pick) {
      List<FakeAttempt> closed =
          fixture.transport.attempts.stream().filter(a -> a.sent && !a.isOpen()).toList();
      if (closed.isEmpty()) {
        return;
      }
      FakeAttempt attempt = closed.get(pick % closed.size());
      if (pick % 2 == 0) {
        attempt.tokens(2, version);
      } else {
        attempt.finish();
      }
    }

    private void crash(String server) {
      incarnations++;
      String incarnation = server + "." + incarnations;
      fixture.transport.openOn(server).forEach(FakeAttempt::crash);
      fixture.directory.report(server, incarnation, version, 0, fixture.timers.nowNanos());
    }

    private void cancel(int pick) {
      List<RequestId> submitted = ledger.submitted();
      if (!submitted.isEmpty()) {
        fixture.dispatcher.cancel(submitted.get(pick % submitted.size()));
      }
    }

    private void newVersion(int pick) {
      version++;
      String server = name(pick);
      String incarnation = fixture.directory.incarnation(server).value();
      fixture.directory.report(server, incarnation, version, 0, fixture.timers.nowNanos());
    }
  }
}
