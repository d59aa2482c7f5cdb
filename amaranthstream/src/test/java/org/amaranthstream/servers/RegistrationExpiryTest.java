package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.platform.StoreMonitor;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to servers that left while a call to the store failed: a server that
 * leaves without reporting it first only removes its registration.
 */
class RegistrationExpiryTest {
  private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_200);
  private static final BackendServerId SERVER = BackendServerId.of("s");

  /** The time for which a server that has left may still get requests, less that of a watch. */
  private static final Duration MAX_DELAY = Duration.ofMillis(800);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final StoreMonitor monitor = StoreMonitor.create(timers);
  private final RegistrationExpiry expiry = RegistrationExpiry.of(monitor, RENEWAL_INTERVAL);
  private final ServerDirectory directory = ServerDirectory.create(timers, expiry::timeToReturn);

  @BeforeEach
  void register() {
    monitor.onAnswered();
    directory.onRegistration(ServerDirectoryTest.registration("s", 1, false));
  }

  private void run(Duration duration) {
    timers.advance(duration);
  }

  private void answerFor(Duration duration) {
    for (Duration at = Duration.ZERO; at.compareTo(duration) < 0; at = at.plusMillis(100)) {
      run(Duration.ofMillis(100));
      monitor.onAnswered();
    }
  }

  private boolean isInUse() {
    return !directory.available(ServerDirectoryTest.SERVICE).isEmpty();
  }

  private void assertGoneInTime() {
    directory.onRegistrationRemoved(SERVER);
    run(MAX_DELAY);

    assertThat(isInUse()).isFalse();
  }

  @Nested
  class ServerThatLeaves {
    @Test
    void isGoneAlthoughOneWatchWasCut() {
      run(Duration.ofMillis(1_500));
      monitor.onFailed("connection lost");
      run(Duration.ofMillis(150));
      monitor.onAnswered();

      assertGoneInTime();
    }

    @Test
    void isGoneAlthoughTheStoreRejectedOneCall() {
      answerFor(Duration.ofSeconds(1));
      monitor.onFailed("the store answered HTTP 429");

      assertGoneInTime();
    }

    @Test
    void isGoneAlthoughCallsFailNowAndThen() {
      for (int i = 0; i < 5; i++) {
        answerFor(Duration.ofSeconds(2));
        monitor.onFailed("the store answered HTTP 429");
      }
      answerFor(Duration.ofMillis(100));

      assertGoneInTime();
    }

    /** Whatever expired in the outage has had the time to register again. */
    @Test
    void isGoneOnceTheStoreWasBackForLong() {
      run(Duration.ofSeconds(6));
      monitor.onFailed("no answer in time");
      answerFor(Duration.ofMillis(2_000));

      assertGoneInTime();
    }
  }

  @Nested
  class ServerWhoseRegistrationExpiredInOutage {
    private void failFor(Duration duration) {
      for (Duration at = Duration.ZERO; at.compareTo(duration) < 0; at = at.plusMillis(300)) {
        run(Duration.ofMillis(300));
        monitor.onFailed("no answer in time");
      }
    }

    @Test
    void staysUntilItHasRegisteredAgain() {
      failFor(Duration.ofSeconds(4));
      monitor.onAnswered();
      directory.onRegistrationRemoved(SERVER);
      run(Duration.ofMillis(2_000));
      assertThat(isInUse()).isTrue();
      directory.onRegistration(ServerDirectoryTest.registration("s", 1, false));
      run(Duration.ofSeconds(10));

      assertThat(isInUse()).isTrue();
    }

    @Test
    void staysWhileSomeCallsAreAnswered() {
      for (int i = 0; i < 8; i++) {
        failFor(Duration.ofMillis(600));
        monitor.onAnswered();
      }
      directory.onRegistrationRemoved(SERVER);
      run(Duration.ofMillis(2_000));

      assertThat(isInUse()).isTrue();
    }

    @Test
    void isGoneIfItDoesNotRegisterAgain() {
      failFor(Duration.ofSeconds(4));
      monitor.onAnswered();
      directory.onRegistrationRemoved(SERVER);
      run(Duration.ofMillis(2_300));

      assertThat(isInUse()).isFalse();
    }

    @Test
    void staysWhenItIsRemovedDuringTheOutage() {
      failFor(Duration.ofSeconds(4));
      directory.onRegistrationRemoved(SERVER);
      run(Duration.ofMillis(2_000));

      assertThat(isInUse()).isTrue();
    }
  }

  /**
   * A short outage can prevent two renewals, and the third can arrive right after the expiry. The
   * server is unused until that renewal, so that servers which leave after short outages are not
   * kept in use.
   */
  @Nested
  class ServerWhoseRegistrationExpiredAfterShortOutage {
    private static final Duration LATE_BY = Duration.ofMillis(200);

    @BeforeEach
    void expire() {
      run(RENEWAL_INTERVAL.minusMillis(100));
      monitor.onFailed("no answer in time");
      run(RENEWAL_INTERVAL);
      monitor.onAnswered();
      run(RENEWAL_INTERVAL.plusMillis(100));
      directory.onRegistrationRemoved(SERVER);
    }

    @Test
    void isNotInUseUntilItHasRegisteredAgain() {
      run(LATE_BY);

      assertThat(isInUse()).isFalse();
    }

    @Test
    void isInUseAgainWithItsNextRenewal() {
      run(LATE_BY);
      directory.onRegistration(ServerDirectoryTest.registration("s", 1, false));

      assertThat(isInUse()).isTrue();
    }
  }
}
