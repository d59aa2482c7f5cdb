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

/** Checks the invariants of the dispatcher under random sequences of events. */
class DispatcherPropertyTest {
  private static final int SERVERS = 4;
  private static final int MAX_ACTIONS = 120;

  /** The kind of an event. */
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
   * An event.
   *
   * @param kind the kind of event
   * @param selector the number that selects the request, attempt or server that the event affects
   */
  record Action(Kind kind, int selector) {}

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
  void givesEachRequestExactlyOneCorrectOutcome(@ForAll("actions") List<Action> actions) {
    Scenario scenario = new Scenario();
    for (Action action : actions) {
      scenario.apply(action);
      scenario.checker.check();
    }
    scenario.fixture.advanceMillis(Duration.ofMinutes(2).toMillis());
    scenario.checker.checkEnd();
  }

  /** A dispatcher with fakes, and the events applied to it. */
  private static final class Scenario {
    private final Fixture fixture = new Fixture();
    private final InvariantChecker checker = new InvariantChecker(fixture);
    private long version = 7;
    private int incarnations;

    private Scenario() {
      for (int i = 0; i < SERVERS; i++) {
        fixture.directory.add(name(i), 3, version);
      }
    }

    private static String name(int selector) {
      return "e" + selector % SERVERS;
    }

    private void apply(Action action) {
      int selector = action.selector();
      switch (action.kind()) {
        case SUBMIT_INTERACTIVE -> checker.submit(generate(selector).build());
        case SUBMIT_TRAINING -> checker.submit(training(selector));
        case SUBMIT_NON_IDEMPOTENT -> checker.submit(fixture.call().idempotent(false).build());
        case SUBMIT_POISON ->
            checker.submit(generate(selector).payload(new Payload.Generate("bad", 8, 0)).build());
        case CRASH_SERVER -> crash(name(selector));
        case CANCEL -> cancel(selector);
        case LEAVE -> fixture.directory.drain(name(selector));
        case NEW_VERSION -> newVersion(selector);
        case ADVANCE -> fixture.advanceMillis(selector);
        case LATE_EVENT -> sendLateEvent(selector);
        default -> applyToAttempt(action.kind(), selector);
      }
    }

    private Work.Builder generate(int selector) {
      Work.Builder work = fixture.work();
      return selector % 4 == 0 ? work.minimumVersion(WeightVersion.of(version)) : work;
    }

    private Work training(int selector) {
      return generate(selector)
          .priority(Priority.TRAINING)
          .deadlineNanos(fixture.timers.nowNanos() + Duration.ofSeconds(60).toNanos())
          .build();
    }

    private void applyToAttempt(Kind kind, int selector) {
      List<FakeAttempt> open = fixture.transport.open();
      if (open.isEmpty()) {
        return;
      }
      FakeAttempt attempt = open.get(selector % open.size());
      boolean isGeneration = attempt.work.payload() instanceof Payload.Generate;
      switch (kind) {
        case SEND -> attempt.send();
        case TOKENS -> attempt.tokens(isGeneration ? 1 + selector % 4 : 0, versionOf(attempt));
        case FINISH -> attempt.finish();
        case BREAK -> attempt.crash();
        case NOT_SENT -> attempt.end(new AttemptEnd.NotSent("refused"));
        case REJECT -> rejectIfUnanswered(attempt, false);
        case DRAIN -> rejectIfUnanswered(attempt, true);
        case FAIL -> {
          attempt.send();
          attempt.end(new AttemptEnd.Failed("500"));
        }
        case TRUNCATE -> attempt.finishAt(attempt.offset + (isGeneration ? 1 : 0));
        case GAP -> {
          attempt.offset += 2;
          attempt.tokens(isGeneration ? 1 : 0, versionOf(attempt));
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

    private void sendLateEvent(int selector) {
      List<FakeAttempt> closed =
          fixture.transport.attempts.stream().filter(a -> a.sent && !a.isOpen()).toList();
      if (closed.isEmpty()) {
        return;
      }
      FakeAttempt attempt = closed.get(selector % closed.size());
      if (selector % 2 == 0) {
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

    private void cancel(int selector) {
      List<RequestId> submitted = checker.submitted();
      if (!submitted.isEmpty()) {
        fixture.dispatcher.cancel(submitted.get(selector % submitted.size()));
      }
    }

    private void newVersion(int selector) {
      version++;
      String server = name(selector);
      String incarnation = fixture.directory.incarnation(server).value();
      fixture.directory.report(server, incarnation, version, 0, fixture.timers.nowNanos());
    }
  }
}
