package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.time.TimerService;

/**
 * A clock of true time that does not follow steps of this VM's time of day.
 *
 * <p>It adds an offset to the monotonic clock. When this VM's time of day departs from it, either
 * the time of day was set or the VM was suspended. The clock is then uncertain until peers have
 * sent their time of day: if this VM's agrees with the median over this daemon and its peers, it is
 * followed; otherwise the offset stays if it agrees with the median, and else becomes the median.
 * Without a majority that agrees the offset stays. Made for VMs of which a minority has a wrong time of day. Not thread safe.
 */
public final class TrueClock {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** More than a query and its answer usually take, which distorts what peers report. */
  private static final long TOLERANCE_MILLIS = 100;

  private static final Duration SAMPLE_LIFETIME = Duration.ofSeconds(12);

  /** Time for peers to answer; after it the clock is certain again, whoever has answered. */
  private static final Duration MAX_UNCERTAINTY = Duration.ofSeconds(3);

  private static final int MIN_PEERS = 2;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final TimerService timers;
  private final InstantSource timeOfDay;
  private final Map<EntryVmId, Sample> samples = new HashMap<>();

  /** Milliseconds from the monotonic time to true time. */
  private long offsetMillis;

  /** The offset of this VM's time of day when it was last read. */
  private long lastOwnMillis;

  private int departures;
  private Optional<Long> uncertainSinceNanos = Optional.empty();

  /**
   * Both clocks of this VM at one moment.
   *
   * @param nanos the monotonic time
   * @param timeOfDayMillis the time of day in milliseconds since the epoch
   */
  record Reading(long nanos, long timeOfDayMillis) {}

  private record Sample(long offsetMillis, long takenNanos) {}

  private TrueClock(TimerService timers, InstantSource timeOfDay) {
    this.timers = timers;
    this.timeOfDay = timeOfDay;
    this.offsetMillis = ownOffsetMillis();
    this.lastOwnMillis = offsetMillis;
  }

  /** Returns a clock that starts with this VM's time of day. */
  public static TrueClock create(TimerService timers, InstantSource timeOfDay) {
    return new TrueClock(checkNotNull(timers, "timers"), checkNotNull(timeOfDay, "timeOfDay"));
  }

  private static long toMillis(long nanos) {
    return Math.floorDiv(nanos, NANOS_PER_MILLI);
  }

  private long ownOffsetMillis() {
    return timeOfDay.millis() - toMillis(timers.nowNanos());
  }

  /** Returns true time in milliseconds since the epoch. */
  public long millis() {
    return millisAt(timers.nowNanos());
  }

  /** Returns the true time, in milliseconds since the epoch, of a monotonic time. */
  public long millisAt(long nanos) {
    return toMillis(nanos) + offsetMillis;
  }

  /** Returns this VM's time of day in milliseconds since the epoch, right or wrong. */
  public long timeOfDayMillis() {
    return timeOfDay.millis();
  }

  /** Returns both clocks of this VM, to measure how long a peer takes to answer. */
  Reading read() {
    return new Reading(timers.nowNanos(), timeOfDay.millis());
  }

  /**
   * Records a peer's time of day. An answer that took long, or during which one of the clocks of
   * this VM jumped, is of no use.
   *
   * @param millis the peer's time of day in milliseconds since the epoch
   * @param sent the clocks of this VM when the peer was asked
   */
  void onTimeOfDay(EntryVmId peer, long millis, Reading sent) {
    long now = timers.nowNanos();
    long tookMillis = toMillis(now - sent.nanos());
    long tookByTimeOfDay = timeOfDay.millis() - sent.timeOfDayMillis();
    if (tookMillis <= TOLERANCE_MILLIS && agree(tookMillis, tookByTimeOfDay)) {
      long middleNanos = sent.nanos() + (now - sent.nanos()) / 2;
      samples.put(peer, new Sample(millis - toMillis(middleNanos), now));
    }
  }

  /** Forgets the time of day of a peer that does not answer. */
  void forget(EntryVmId peer) {
    samples.remove(peer);
  }

  /** Returns false if this VM's time of day has departed and the peers have not answered yet. */
  public boolean isCertain() {
    long own = ownOffsetMillis();
    if (!agree(own, lastOwnMillis)) {
      departures++;
      uncertainSinceNanos = Optional.of(timers.nowNanos());
      samples.clear();
    }
    lastOwnMillis = own;
    return uncertainSinceNanos.isEmpty();
  }

  /** Returns how often this VM's time of day has departed from the monotonic clock. */
  int departures() {
    return departures;
  }

  /** Compares the clock with the peers, and corrects it if needed. */
  public void adjust() {
    long now = timers.nowNanos();
    boolean isCertain = isCertain();
    samples.values().removeIf(sample -> now - sample.takenNanos() > SAMPLE_LIFETIME.toNanos());
    boolean isWaiting =
        !isCertain
            && samples.size() < MIN_PEERS
            && now - uncertainSinceNanos.get() < MAX_UNCERTAINTY.toNanos();
    if (!isWaiting) {
      uncertainSinceNanos = Optional.empty();
      compare(lastOwnMillis);
    }
  }

  private void compare(long own) {
    if (samples.isEmpty()) {
      return;
    }
    List<Long> offsets = new ArrayList<>();
    offsets.add(own);
    samples.values().forEach(sample -> offsets.add(sample.offsetMillis()));
    offsets.sort(null);
    long median = offsets.get((offsets.size() - 1) / 2);
    long agreeing = offsets.stream().filter(offset -> agree(offset, median)).count();
    if (2 * agreeing <= offsets.size()) {
      return;
    }
    if (agree(own, median)) {
      moveTo(own);
    } else if (!agree(offsetMillis, median)) {
      moveTo(median);
    }
  }

  private static boolean agree(long a, long b) {
    return Math.abs(a - b) <= TOLERANCE_MILLIS;
  }

  private void moveTo(long newOffsetMillis) {
    if (!agree(offsetMillis, newOffsetMillis)) {
      logger.atWarning().log(
          "event=true_time_corrected by_ms=%d peers=%d",
          newOffsetMillis - offsetMillis, samples.size());
    }
    offsetMillis = newOffsetMillis;
  }
}
