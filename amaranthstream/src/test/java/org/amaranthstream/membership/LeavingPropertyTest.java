package org.amaranthstream.membership;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.amaranthstream.membership.TableFixture.POOL;
import static org.amaranthstream.membership.TableFixture.ZONE;
import static org.amaranthstream.membership.TableFixture.entryVm;
import static org.amaranthstream.membership.TableFixture.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * A server restarts and starts to leave at random, while lists lag and contradict, and reports come
 * late, twice, out of order and from several daemons. Once the table was told that the run of the
 * server that is alive leaves, it never offers the server until the next run starts.
 */
class LeavingPropertyTest {
  private static final Duration MAX_UNSEEN_DELAY = Duration.ofMillis(2900);

  /** One event: what happens, and a number that says how. */
  record Event(Kind kind, int value) {}

  /** What can happen. */
  enum Kind {
    ADVANCE,
    SERVER_RESTARTS,
    SERVER_STARTS_TO_LEAVE,
    REPORT_LEAVES_SERVER,
    REPORT_ARRIVES,
    REPORT_ARRIVES_AGAIN,
    OWN_POLL,
    PEER_NOTICE,
    LIST_READ
  }

  private record SentReport(String incarnation, boolean draining, long takenNanos) {}

  @Provide
  Arbitrary<List<Event>> events() {
    return Combinators.combine(Arbitraries.of(Kind.class), Arbitraries.integers().between(0, 9999))
        .as(Event::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(120);
  }

  @Property(tries = 3000, seed = "20260303")
  void leavingRunIsNeverOfferedAgain(@ForAll("events") List<Event> events) {
    Model model = new Model();
    for (Event event : events) {
      model.apply(event);
      model.check();
    }
  }

  @Property(tries = 1000, seed = "20260304")
  void nextRunIsOfferedOnceAllIsQuiet(@ForAll("events") List<Event> events) {
    Model model = new Model();
    events.forEach(model::apply);
    model.restart();
    for (int second = 0; second < 60; second++) {
      model.fixture.advance(Duration.ofSeconds(1));
      model.fixture.list(server("s", ZONE, false));
      model.fixture.poll("s", model.fixture.report(model.incarnation(), false, Duration.ZERO));
    }
    assertWithMessage("run %s", model.run).that(model.fixture.isLeaving("s")).isFalse();
  }

  private static final class Model {
    private final TableFixture fixture =
        new TableFixture(List.of(server("s", ZONE, false), entryVm("vm-1", ZONE)));
    private final List<SentReport> onTheWay = new ArrayList<>();
    private int run = 1;
    private boolean leaving;
    private boolean told;
    private boolean listSaysLeaving;

    private String incarnation() {
      return "run-" + run;
    }

    private void apply(Event event) {
      switch (event.kind()) {
        case ADVANCE -> fixture.advance(Duration.ofMillis(event.value()));
        case SERVER_RESTARTS -> restart();
        case SERVER_STARTS_TO_LEAVE -> leaving = true;
        case REPORT_LEAVES_SERVER ->
            onTheWay.add(new SentReport(incarnation(), leaving, fixture.now));
        case REPORT_ARRIVES -> arrive(event.value(), true);
        case REPORT_ARRIVES_AGAIN -> arrive(event.value(), false);
        case OWN_POLL -> {
          fixture.poll("s", fixture.report(incarnation(), leaving, Duration.ZERO));
          told |= leaving;
        }
        case PEER_NOTICE -> notice(event.value());
        case LIST_READ -> {
          listSaysLeaving = event.value() % 2 == 0;
          fixture.list(server("s", ZONE, listSaysLeaving), server("t", "zone-b", false));
        }
        default -> throw new AssertionError(event);
      }
    }

    private void restart() {
      run++;
      leaving = false;
      told = false;
    }

    /** A report looks younger by a delay that nobody sees. */
    private void arrive(int value, boolean last) {
      if (onTheWay.isEmpty()) {
        return;
      }
      int index = value % onTheWay.size();
      SentReport sent = last ? onTheWay.remove(index) : onTheWay.get(index);
      long age = fixture.now - sent.takenNanos();
      long unseen = Math.min(age, MAX_UNSEEN_DELAY.toNanos() * (value % 11) / 10);
      Duration seen = Duration.ofNanos(age - unseen);
      fixture.relay("s", fixture.report(sent.incarnation(), sent.draining(), seen));
      told |= sent.draining() && sent.incarnation().equals(incarnation());
    }

    /** A peer's notice is about a run that leaves: the one alive, or one before. */
    private void notice(int value) {
      if (leaving) {
        fixture.notice("s", incarnation());
        told = true;
      } else if (run > 1) {
        fixture.notice("s", "run-" + (1 + value % (run - 1)));
      }
    }

    private void check() {
      for (BackendView view : fixture.table.local(POOL)) {
        assertWithMessage("zone of %s", view).that(view.server().zone().value()).isEqualTo(ZONE);
        if (told || listSaysLeaving) {
          assertWithMessage("run %s told=%s list=%s", run, told, listSaysLeaving)
              .that(view.leaving())
              .isTrue();
        }
      }
    }
  }
}
