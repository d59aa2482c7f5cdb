package org.amaranthstream.usage;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.time.PausableTimerService;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

class TrueClockTest {
  private static final EntryVmId FIRST_PEER = EntryVmId.of("vm-1");
  private static final EntryVmId SECOND_PEER = EntryVmId.of("vm-2");

  private final VirtualTimerService world = VirtualTimerService.startingAt(1_000_000_000_000L);
  private final PausableTimerService timers = new PausableTimerService(world);
  private long stepMillis;
  private final TrueClock clock = TrueClock.create(timers, this::timeOfDay);

  private long trueMillis() {
    return 1_700_000_000_000L + world.nowNanos() / 1_000_000;
  }

  private Instant timeOfDay() {
    return Instant.ofEpochMilli(trueMillis() + stepMillis);
  }

  private void askPeers(long firstStepMillis, long secondStepMillis) {
    TrueClock.Reading sent = clock.read();
    world.advance(Duration.ofMillis(4));
    clock.onTimeOfDay(FIRST_PEER, trueMillis() - 2 + firstStepMillis, sent);
    clock.onTimeOfDay(SECOND_PEER, trueMillis() - 2 + secondStepMillis, sent);
    clock.adjust();
  }

  @Test
  void stepOfOwnTimeOfDayIsNotFollowed() {
    stepMillis = 7_000;
    assertThat(clock.isCertain()).isFalse();
    askPeers(0, 0);

    assertThat(clock.isCertain()).isTrue();

    assertThat(clock.millis()).isEqualTo(trueMillis());
  }

  @Test
  void suspensionIsFollowedOnceThePeersConfirmIt() {
    timers.pause();
    world.advance(Duration.ofSeconds(5));
    timers.resume();
    assertThat(clock.isCertain()).isFalse();
    final long resumedNanos = timers.nowNanos();
    askPeers(0, 0);

    assertThat(clock.isCertain()).isTrue();
    assertThat(clock.millis()).isEqualTo(trueMillis());
    assertThat(clock.millisAt(resumedNanos)).isEqualTo(trueMillis() - 4);
  }

  @Test
  void timesBeforeSuspensionKeepTheirOffset() {
    final long beforeMillis = trueMillis();
    final long beforeNanos = timers.nowNanos();
    world.advance(Duration.ofMillis(10));
    timers.pause();
    world.advance(Duration.ofSeconds(5));
    timers.resume();
    assertThat(clock.isCertain()).isFalse();
    askPeers(0, 0);

    assertThat(clock.millisAt(beforeNanos)).isEqualTo(beforeMillis);
  }

  @Test
  void wrongTimeAtTheStartIsCorrected() {
    stepMillis = -9_000;
    TrueClock started = TrueClock.create(timers, this::timeOfDay);
    TrueClock.Reading sent = started.read();
    started.onTimeOfDay(FIRST_PEER, trueMillis(), sent);
    started.onTimeOfDay(SECOND_PEER, trueMillis(), sent);
    started.adjust();

    assertThat(started.millis()).isEqualTo(trueMillis());
  }

  @Test
  void peersWithoutMajorityChangeNothing() {
    stepMillis = 5_000;
    assertThat(clock.isCertain()).isFalse();
    askPeers(10_000, -3_000);

    assertThat(clock.millis()).isEqualTo(trueMillis());
  }

  @Test
  void slowAnswersAreNotUsed() {
    TrueClock.Reading sent = clock.read();
    long atPeer = trueMillis();
    world.advance(Duration.ofMillis(900));
    clock.onTimeOfDay(FIRST_PEER, atPeer, sent);
    clock.onTimeOfDay(SECOND_PEER, atPeer, sent);
    clock.adjust();

    assertThat(clock.millis()).isEqualTo(trueMillis());
  }

  @Test
  void certainAgainWithoutPeersAfterSomeTime() {
    stepMillis = 7_000;
    assertThat(clock.isCertain()).isFalse();
    world.advance(Duration.ofSeconds(3));
    clock.adjust();

    assertThat(clock.isCertain()).isTrue();
    assertThat(clock.millis()).isEqualTo(trueMillis());
  }
}
