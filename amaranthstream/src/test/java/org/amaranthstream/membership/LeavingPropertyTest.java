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
 * Properties of {@link MembershipTable} for a server that restarts and starts to leave at random
 * while the VM list lags or contradicts itself and load reports arrive late, twice, out of order
 * and from several daemons. Once the table has been notified that the server's running incarnation
 * is leaving, it must report the server as leaving until the next incarnation starts.
 */
class LeavingPropertyTest {
  private static final Duration MAX_UNMEASURED_DELAY = Duration.ofMillis(2900);

  /** An event and a number from which its details are derived. */
  record Event(Kind kind, int value) {}

  /** The kinds of events. */
  enum Kind {
    ADVANCE,
    SERVER_RESTARTS,
    SERVER_STARTS_TO_LEAVE,
    REPORT_SENT,
    REPORT_ARRIVES,
    REPORT_DUPLICATED,
    LOCAL_POLL,
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
  void leavingIncarnationIsNeverEligibleAgain(@ForAll("events") List<Event> events) {
    Model model = new Model();
    for (Event event : events) {
      model.apply(event);
      model.check();
    }
  }

  @Property(tries = 1000, seed = "20260304")
  void nextIncarnationIsEligibleOnceAllSourcesAgree(@ForAll("events") List<Event> events) {
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
    private final List<SentReport> inTransit = new ArrayList<>();
    private int run = 1;
    private boolean leaving;
    private boolean notified;
    private boolean listSaysLeaving;

    private String incarnation() {
      return "run-" + run;
    }

    private void apply(Event event) {
      switch (event.kind()) {
        case ADVANCE -> fixture.advance(Duration.ofMillis(event.value()));
        case SERVER_RESTARTS -> restart();
        case SERVER_STARTS_TO_LEAVE -> leaving = true;
        case REPORT_SENT -> inTransit.add(new SentReport(incarnation(), leaving, fixture.now));
        case REPORT_ARRIVES -> arrive(event.value(), true);
        case REPORT_DUPLICATED -> arrive(event.value(), false);
        case LOCAL_POLL -> {
          fixture.poll("s", fixture.report(incarnation(), leaving, Duration.ZERO));
          notified |= leaving;
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
      notified = false;
    }

    /** Delivers a report whose age is too low by a delay that the receiver cannot measure. */
    private void arrive(int value, boolean removeFromTransit) {
      if (inTransit.isEmpty()) {
        return;
      }
      int index = value % inTransit.size();
      SentReport sent = removeFromTransit ? inTransit.remove(index) : inTransit.get(index);
      long age = fixture.now - sent.takenNanos();
      long unmeasured = Math.min(age, MAX_UNMEASURED_DELAY.toNanos() * (value % 11) / 10);
      Duration reportedAge = Duration.ofNanos(age - unmeasured);
      fixture.relay("s", fixture.report(sent.incarnation(), sent.draining(), reportedAge));
      notified |= sent.draining() && sent.incarnation().equals(incarnation());
    }

    /** Delivers a peer's notice that the running or an earlier incarnation is leaving. */
    private void notice(int value) {
      if (leaving) {
        fixture.notice("s", incarnation());
        notified = true;
      } else if (run > 1) {
        fixture.notice("s", "run-" + (1 + value % (run - 1)));
      }
    }

    private void check() {
      for (BackendView view : fixture.table.local(POOL)) {
        assertWithMessage("zone of %s", view).that(view.server().zone().value()).isEqualTo(ZONE);
        if (notified || listSaysLeaving) {
          assertWithMessage("run %s notified=%s list=%s", run, notified, listSaysLeaving)
              .that(view.leaving())
              .isTrue();
        }
      }
    }
  }
}
