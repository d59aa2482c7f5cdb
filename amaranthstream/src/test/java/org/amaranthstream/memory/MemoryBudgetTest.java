package org.amaranthstream.memory;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
  private static final long CAPACITY = 1_000_000;
  private static final int MANY = 5_000;
  private static final Duration PATIENCE = Duration.ofSeconds(1);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final MemoryBudget budget = MemoryBudget.of(timers, CAPACITY);
  private final List<String> decisions = new ArrayList<>();

  private Reservation await(String name, long bytes) {
    Reservation reservation = budget.open();
    reservation.growWithin(bytes, PATIENCE, isTaken -> decisions.add(name + " " + isTaken));
    return reservation;
  }

  @Test
  void reservationsWaitInTheOrderOfTheirArrival() {
    Reservation first = await("a", 900_000);
    await("b", 800_000);
    await("c", 200_000);
    first.release();

    assertThat(decisions).containsExactly("a true", "b true", "c true").inOrder();
  }

  @Test
  void smallReservationsOvertakeLargeOnes() {
    await("a", 900_000);
    await("b", 800_000);
    await("c", 600);

    assertThat(decisions).containsExactly("a true", "c true").inOrder();
  }

  /** Guards against clients who fill the memory and keep small requests out. */
  @Test
  void smallReservationsHaveRoomOfTheirOwn() {
    MemoryBudget shared = MemoryBudget.of(timers, CAPACITY, 100_000);
    Reservation large = shared.open();
    assertThat(large.tryGrow(CAPACITY + 1)).isFalse();
    assertThat(large.tryGrow(CAPACITY)).isTrue();
    assertThat(large.tryGrow(1)).isFalse();

    assertThat(shared.open().tryGrow(60_000)).isTrue();
    assertThat(shared.open().tryGrow(60_000)).isFalse();
    assertThat(shared.open().tryGrow(40_000)).isTrue();
  }

  @Test
  void smallReservationsAreGrantedBeforeLargeOnesThatDoNotFit() {
    await("a", 950_000);
    final Reservation second = await("b", 50_000);
    await("c", 800_000);
    await("d", 50_000);
    second.release();

    assertThat(decisions).containsExactly("a true", "b true", "d true").inOrder();
  }

  @Test
  void reservationThatIsNotMadeInTimeLetsTheNextOnePass() {
    await("a", 900_000);
    await("b", 800_000);
    timers.advance(Duration.ofMillis(500));
    await("c", 100_000);
    timers.advance(Duration.ofMillis(500));

    assertThat(decisions).containsExactly("a true", "b false", "c true").inOrder();
  }

  @Test
  void whatCannotFitIsRejectedAtOnce() {
    await("a", CAPACITY + 1);

    assertThat(decisions).containsExactly("a false");
  }

  @Test
  void releasedReservationTakesNothing() {
    await("a", 900_000);
    Reservation second = await("b", 800_000);
    second.release();
    timers.advance(PATIENCE);

    assertThat(second.tryGrow(1)).isFalse();
    assertThat(budget.usedBytes()).isEqualTo(900_000);
  }

  @Test
  void bytesStayReservedWhileTheyAreHeld() {
    Reservation first = await("a", 900_000);
    Hold hold = first.hold();
    final Hold other = first.hold();
    await("b", 800_000);
    first.release();
    hold.release();
    hold.release();
    assertThat(budget.usedBytes()).isEqualTo(900_000);
    assertThat(first.tryGrow(1)).isFalse();

    other.release();
    assertThat(decisions).containsExactly("a true", "b true").inOrder();
  }

  @Test
  void holdThatEndsFirstGivesNothingBack() {
    Reservation first = await("a", 900_000);
    first.hold().release();
    assertThat(budget.usedBytes()).isEqualTo(900_000);

    first.release();
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void releasedReservationWaitsNoLonger() {
    final Reservation first = await("a", 900_000);
    Reservation second = await("b", 800_000);
    await("c", 100_000);
    second.release();
    assertThat(decisions).containsExactly("a true", "c true").inOrder();

    first.release();
    assertThat(budget.usedBytes()).isEqualTo(100_000);
  }

  /**
   * Guards against a stack that grows with the number of reservations that ended as they waited.
   */
  @Test
  void anyNumberOfReservationsMayEndWhileTheyWait() {
    final Reservation first = await("a", 900_000);
    List<Reservation> waiting = new ArrayList<>();
    for (int i = 0; i < MANY; i++) {
      waiting.add(await("b", 800_000));
    }
    waiting.forEach(Reservation::release);
    first.release();

    assertThat(budget.usedBytes()).isEqualTo(0);
    assertThat(decisions).containsExactly("a true");
  }

  @Test
  void cachesGiveBackBeforeReservationFails() {
    Reservation cached = budget.open();
    cached.forceGrow(900_000);
    budget.addCache(bytes -> cached.shrink(Math.min(bytes, cached.bytes())));

    assertThat(budget.open().tryGrow(500_000)).isTrue();
    assertThat(cached.bytes()).isEqualTo(500_000);
  }

  @Test
  void negativeSizesAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> budget.open().tryGrow(-1));
  }

  /** All bytes come back, in any order of reservations, waits, timeouts and releases. */
  @Property(tries = 200)
  void nothingIsLostOrKept(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 400_000) Integer> sizes) {
    VirtualTimerService clock = VirtualTimerService.create();
    MemoryBudget sampled = MemoryBudget.of(clock, CAPACITY);
    List<Reservation> open = new ArrayList<>();
    for (int size : sizes) {
      Reservation reservation = sampled.open();
      reservation.growWithin(size, Duration.ofMillis(size % 7), unused -> {});
      open.add(reservation);
      if (size % 3 == 0) {
        open.remove(size % open.size()).release();
      }
      clock.advance(Duration.ofMillis(size % 5));
      assertThat(sampled.usedBytes()).isEqualTo(open.stream().mapToLong(Reservation::bytes).sum());
      assertThat(sampled.usedBytes()).isAtMost(CAPACITY);
    }
    open.forEach(Reservation::release);
    clock.advance(PATIENCE);
    assertThat(sampled.usedBytes()).isEqualTo(0);
  }
}
