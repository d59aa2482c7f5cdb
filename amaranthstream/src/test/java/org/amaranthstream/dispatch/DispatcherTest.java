package org.amaranthstream.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.amaranthstream.dispatch.FakeTransport.text;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.FakeTransport.FakeAttempt;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.ZoneView;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatcherTest {
  private final Fixture fixture = new Fixture();

  private void addOneServer(int slots) {
    fixture.directory.add("e1", slots, 7);
  }

  private void addTwoServers() {
    addOneServer(4);
    fixture.directory.add("e2", 4, 7);
  }

  private static ResultCode notRunCode(RecordingWorkListener listener) {
    assertThat(listener.outcome()).isInstanceOf(Outcome.NotRun.class);
    return ((Outcome.NotRun) listener.outcome()).error().code();
  }

  private static ResultCode unknownOutcomeCode(RecordingWorkListener listener) {
    assertThat(listener.outcome()).isInstanceOf(Outcome.OutcomeUnknown.class);
    return ((Outcome.OutcomeUnknown) listener.outcome()).error().code();
  }

  private static void assertCompleted(RecordingWorkListener listener, long tokens) {
    assertThat(listener.outcome()).isInstanceOf(Outcome.Completed.class);
    assertThat(listener.text.toString()).isEqualTo(text(tokens));
  }

  @Nested
  class Submit {
    @Test
    void passesChunksAndOutcomeToListener() {
      addOneServer(4);
      final RecordingWorkListener listener = fixture.submit();
      FakeAttempt attempt = fixture.transport.last();
      attempt.tokens(3, 7);
      attempt.tokens(5, 8);
      attempt.finish();

      assertCompleted(listener, 8);
      assertThat(listener.chunks.get(1).version()).isEqualTo(Optional.of(WeightVersion.of(8)));
      assertThat(fixture.dispatcher.active()).isEqualTo(0);
    }

    @Test
    void rejectsImmediatelyWithoutServers() {
      final RecordingWorkListener listener = fixture.submit();

      assertThat(notRunCode(listener)).isEqualTo(ResultCode.NOT_RUN_NO_BACKEND);
      assertThat(((Outcome.NotRun) listener.outcome()).retryAfter()).isPresent();
    }

    @Test
    void queuesRequestUntilServerHasCapacity() {
      addOneServer(1);
      fixture.submit();
      final RecordingWorkListener second = fixture.submit();
      assertThat(fixture.transport.attempts).hasSize(1);

      fixture.transport.last().tokens(8, 7);
      fixture.transport.last().finish();
      assertThat(fixture.transport.attempts).hasSize(2);
      fixture.transport.last().tokens(8, 7);
      fixture.transport.last().finish();

      assertCompleted(second, 8);
    }

    @Test
    void rejectsRequestEstimatedToMissItsDeadline() {
      addOneServer(1);
      fixture.submit();
      fixture.advanceMillis(4000);
      fixture.transport.last().tokens(8, 7);
      fixture.transport.last().finish();
      fixture.submit();

      RecordingWorkListener late =
          fixture.submit(
              fixture
                  .work()
                  .deadlineNanos(fixture.timers.nowNanos() + Duration.ofSeconds(5).toNanos())
                  .build());

      assertThat(notRunCode(late)).isEqualTo(ResultCode.NOT_RUN_OVERLOADED);
    }

    @Test
    void skipsServerWithOlderWeightVersion() {
      addTwoServers();
      fixture.directory.report("e2", "e2.0", 9, 0, 0);

      fixture.submit(fixture.work().minimumVersion(WeightVersion.of(8)).build());

      assertThat(fixture.transport.last().server.id().value()).isEqualTo("e2");
    }

    @Test
    void skipsDrainingServer() {
      addTwoServers();
      fixture.directory.drain("e1");
      for (int i = 0; i < 6; i++) {
        fixture.submit();
      }

      assertThat(fixture.transport.openOn("e1")).isEmpty();
      assertThat(fixture.transport.openOn("e2")).hasSize(4);
    }

    @Test
    void sendsInteractiveRequestsBeforeTraining() {
      addOneServer(1);
      fixture.submit();
      fixture.submit(fixture.work().priority(Priority.TRAINING).build());
      Work interactive = fixture.work().build();
      fixture.submit(interactive);

      fixture.transport.last().tokens(8, 7);
      fixture.transport.last().finish();

      assertThat(fixture.transport.last().work).isEqualTo(interactive);
    }
  }

  @Nested
  class Retry {
    @Test
    void resumesOnAnotherServerFromLastOffset() {
      addTwoServers();
      final RecordingWorkListener listener = fixture.submit();
      FakeAttempt first = fixture.transport.last();
      first.tokens(3, 7);
      first.crash();
      FakeAttempt second = fixture.transport.last();

      assertThat(second.server.id()).isNotEqualTo(first.server.id());
      assertThat(second.startOffset).isEqualTo(3);
      assertThat(second.prefix).isEqualTo(text(3));
      second.tokens(5, 8);
      second.finish();
      assertCompleted(listener, 8);
    }

    @Test
    void doesNotRetryNonIdempotentWorkThatMayHaveRun() {
      addTwoServers();
      final RecordingWorkListener listener =
          fixture.submit(fixture.call().idempotent(false).build());
      fixture.transport.last().crash();

      assertThat(unknownOutcomeCode(listener)).isEqualTo(ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST);
      assertThat(fixture.transport.attempts).hasSize(1);
    }

    @Test
    void retriesNonIdempotentWorkThatServerRejected() {
      addTwoServers();
      final RecordingWorkListener listener =
          fixture.submit(fixture.call().idempotent(false).build());
      fixture.transport.last().reject(true);
      assertThat(fixture.transport.attempts).hasSize(2);
      assertThat(fixture.drainingServers).hasSize(1);
      fixture.transport.last().finish();

      assertThat(listener.outcome()).isInstanceOf(Outcome.Completed.class);
    }

    @Test
    void treatsNotSentAfterSendingAsPossiblyRun() {
      addTwoServers();
      final RecordingWorkListener listener =
          fixture.submit(fixture.call().idempotent(false).build());
      fixture.transport.last().send();
      fixture.transport.last().end(new AttemptEnd.NotSent("closed"));

      assertThat(unknownOutcomeCode(listener)).isEqualTo(ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST);
    }

    @Test
    void cancelsAttemptWithWrongOffset() {
      addTwoServers();
      final RecordingWorkListener listener = fixture.submit();
      FakeAttempt first = fixture.transport.last();
      first.tokens(3, 7);
      first.offset = 5;
      first.tokens(1, 7);

      assertThat(first.cancelled).isTrue();
      FakeAttempt second = fixture.transport.last();
      second.tokens(5, 7);
      first.tokens(3, 7);
      second.finish();
      assertCompleted(listener, 8);
    }

    @Test
    void resumesOnAnotherServerAfterNoProgress() {
      addTwoServers();
      final RecordingWorkListener listener = fixture.submit();
      FakeAttempt first = fixture.transport.last();
      first.tokens(3, 7);
      fixture.advanceMillis(2100);

      assertThat(first.cancelled).isTrue();
      fixture.transport.last().tokens(5, 7);
      fixture.transport.last().finish();
      assertCompleted(listener, 8);
    }
  }

  @Nested
  class Deadline {
    @Test
    void endsQueuedRequestAsNotRun() {
      addOneServer(1);
      fixture.submit();
      RecordingWorkListener waiting =
          fixture.submit(fixture.work().deadlineNanos(Duration.ofMillis(500).toNanos()).build());
      fixture.advanceMillis(500);

      assertThat(notRunCode(waiting)).isEqualTo(ResultCode.NOT_RUN_DEADLINE);
    }

    @Test
    void stopsRunningAttempt() {
      addOneServer(1);
      final RecordingWorkListener listener =
          fixture.submit(fixture.call().idempotent(false).build());
      fixture.advanceMillis(10_000);

      assertThat(unknownOutcomeCode(listener)).isEqualTo(ResultCode.OUTCOME_UNKNOWN_DEADLINE);
      assertThat(fixture.transport.last().cancelled).isTrue();
    }
  }

  @Nested
  class Cancel {
    @Test
    void removesQueuedRequest() {
      addOneServer(1);
      fixture.submit();
      Work work = fixture.work().build();
      RecordingWorkListener listener = fixture.submit(work);
      fixture.dispatcher.cancel(work.id());

      assertThat(notRunCode(listener)).isEqualTo(ResultCode.NOT_RUN_CANCELLED);
    }

    @Test
    void stopsRunningAttempt() {
      addOneServer(1);
      Work work = fixture.work().build();
      RecordingWorkListener listener = fixture.submit(work);
      fixture.dispatcher.cancel(work.id());
      fixture.dispatcher.cancel(work.id());

      assertThat(unknownOutcomeCode(listener)).isEqualTo(ResultCode.OUTCOME_UNKNOWN_CANCELLED);
      assertThat(fixture.transport.last().cancelled).isTrue();
    }
  }

  @Nested
  class Forward {
    private void addOtherZone() {
      fixture.directory.zones(
          new ZoneView(
              AvailabilityZoneId.of("lisboa-b"),
              RegionId.of("lisboa"),
              2,
              0,
              0,
              8,
              Optional.of(WeightVersion.of(7)),
              0));
    }

    @Test
    void forwardsWhenLocalServersAreFull() {
      addOneServer(1);
      addOtherZone();
      fixture.submit();
      fixture.submit();

      assertThat(fixture.forwarder.forwarded).hasSize(1);
    }

    @Test
    void doesNotForwardForwardedRequest() {
      addOtherZone();

      RecordingWorkListener listener = fixture.submit(fixture.work().forwarded(true).build());

      assertThat(notRunCode(listener)).isEqualTo(ResultCode.NOT_RUN_NO_BACKEND);
    }

    @Test
    void runsLocallyWhenOtherZoneDidNotRunIt() {
      addOneServer(1);
      addOtherZone();
      fixture.submit();
      final RecordingWorkListener listener = fixture.submit();
      fixture
          .forwarder
          .forwarded
          .get(0)
          .listener()
          .onOutcome(
              new Outcome.NotRun(
                  ErrorDetail.of(ResultCode.NOT_RUN_ZONE_UNREACHABLE, "cut"), Optional.empty()));
      fixture.transport.last().tokens(8, 7);
      fixture.transport.last().finish();
      fixture.transport.last().tokens(8, 7);
      fixture.transport.last().finish();

      assertCompleted(listener, 8);
    }
  }

  @Nested
  class Poison {
    @Test
    void quarantinesContentInFlightAtTwoCrashes() {
      for (int i = 1; i <= 4; i++) {
        fixture.directory.add("e" + i, 4, 7);
      }
      Payload poison = new Payload.Generate("poison", 8, 0);
      RecordingWorkListener first = fixture.submit(fixture.work().payload(poison).build());
      fixture.transport.last().crash();
      fixture.transport.last().crash();
      assertThat(unknownOutcomeCode(first)).isEqualTo(ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST);

      RecordingWorkListener again = fixture.submit(fixture.work().payload(poison).build());

      assertThat(notRunCode(again)).isEqualTo(ResultCode.NOT_RUN_QUARANTINED);
      assertThat(fixture.transport.attempts).hasSize(2);
    }

    /** A burst of crashes must not leave a sound sample of a training step behind. */
    @Test
    void runsSampleAgainHoweverManyServersCrashedUnderIt() {
      for (int i = 1; i <= 8; i++) {
        fixture.directory.add("e" + i, 4, 7);
      }
      Payload sample = new Payload.Generate("sample", 8, 0);
      for (int i = 0; i < 3; i++) {
        fixture.submit(fixture.work().priority(Priority.TRAINING).payload(sample).build());
        fixture.transport.last().crash();
        fixture.transport.last().crash();
        fixture.advanceMillis(1_000);
      }
      RecordingWorkListener again =
          fixture.submit(fixture.work().priority(Priority.TRAINING).payload(sample).build());
      fixture.transport.last().tokens(8, 7);
      fixture.transport.last().finish();

      assertCompleted(again, 8);
    }
  }
}
