package org.amaranthstream.dispatch;

import com.google.errorprone.annotations.FormatMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.amaranthstream.decisions.DecisionRecord;
import org.amaranthstream.dispatch.FakeTransport.FakeAttempt;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.membership.BackendServer;

/** A dispatcher with fakes that logs its events and decisions as lines of text. */
final class RecordedSession {
  private static final long NANOS_PER_MILLI = 1_000_000;

  final Fixture fixture;
  private final List<Consumer<Boolean>> probes = new ArrayList<>();
  private final List<String> lines = new ArrayList<>();
  private int recordsLogged;

  RecordedSession(DispatchSettings settings) {
    fixture = new Fixture(Dispatcher.builder().settings(settings).connectionProbe(this::onProbe));
    fixture.transport.onStart =
        attempt ->
            event(
                "attempt %s of %d on %s from %d",
                attempt.id, number(attempt.work.id()), attempt.server.id(), attempt.startOffset);
  }

  private static long number(RequestId id) {
    return id.sequence();
  }

  private void onProbe(BackendServer server, Consumer<Boolean> consumer) {
    event("probe of %s", server.id());
    probes.add(consumer);
  }

  /** Logs an event after the decisions that preceded it. */
  @FormatMethod
  void event(String format, Object... arguments) {
    logRecords();
    lines.add(millis(fixture.timers.nowNanos()) + " " + String.format(format, arguments));
  }

  private void logRecords() {
    while (recordsLogged < fixture.records.size()) {
      DecisionRecord decision = fixture.records.get(recordsLogged++);
      lines.add(
          String.format(
              "%s   decision %d %s %s (%s)",
              millis(decision.atNanos()),
              number(decision.request()),
              decision.kind(),
              decision.choice(),
              decision.reason()));
    }
  }

  private static String millis(long nanos) {
    return String.format("%6d", nanos / NANOS_PER_MILLI);
  }

  void submit(Work work) {
    event("submit %d %s %s", number(work.id()), work.workClass(), work.priority());
    fixture.dispatcher.submit(work, new LoggingListener(work.id()));
  }

  void tokens(String server, int count) {
    for (FakeAttempt attempt : fixture.transport.openOn(server)) {
      event("%s gives %d tokens of %d", server, count, number(attempt.work.id()));
      attempt.tokens(count, 7);
    }
  }

  void finish(String server) {
    for (FakeAttempt attempt : fixture.transport.openOn(server)) {
      event("%s finishes %d", server, number(attempt.work.id()));
      attempt.finish();
    }
  }

  void crash(String server, String incarnation) {
    event("%s crashes", server);
    fixture.transport.openOn(server).forEach(FakeAttempt::crash);
    fixture.directory.report(server, incarnation, 7, 0, fixture.timers.nowNanos());
  }

  void answerProbe(boolean answered) {
    event("probe answered: %s", answered);
    probes.remove(0).accept(answered);
  }

  void advanceMillis(long millis) {
    fixture.timers.advance(Duration.ofMillis(millis));
  }

  String log() {
    logRecords();
    return String.join("\n", lines) + "\n";
  }

  private final class LoggingListener implements WorkListener {
    private final RequestId id;

    private LoggingListener(RequestId id) {
      this.id = id;
    }

    @Override
    public void onChunk(Chunk chunk) {
      event(
          "  answer %d tokens %d-%d", number(id), chunk.offset(), chunk.offset() + chunk.tokens());
    }

    @Override
    public void onOutcome(Outcome outcome) {
      event("  outcome %d %s", number(id), describe(outcome));
    }

    private static String describe(Outcome outcome) {
      if (outcome instanceof Outcome.Completed completed) {
        return "completed by " + completed.answer().server();
      }
      if (outcome instanceof Outcome.NotRun notRun) {
        return "not run, "
            + notRun.error()
            + ", retry after "
            + notRun.retryAfter().map(after -> after.toMillis() + " ms").orElse("never");
      }
      return "unknown, " + ((Outcome.OutcomeUnknown) outcome).error();
    }
  }
}
