package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Iterables;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.time.TimerService;

/**
 * A clock of true time that does not follow steps of this VM's time of day.
 *
 * <p>It adds an offset to the monotonic clock. When this VM's time of day departs from it, either
 * the time of day was set or the VM was suspended. The clock is then uncertain until peers have
 * sent their time of day: if this VM's agrees with the median over this daemon and its peers, it is
 * followed; otherwise the offset stays if it agrees with the median, and else becomes the median.
 * Without a majority that agrees the offset stays. Made for VMs of which a minority has a wrong
 * time of day. Not thread safe.
 */
public final class TrueClock {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** More than a query and its answer usually take, which distorts what peers report. */
  private static final long TOLERANCE_MILLIS = 100;

  /** Keeps differences of rounding out of the history of offsets. */
  private static final long MIN_CORRECTION_MILLIS = 5;

  private static final Duration SAMPLE_LIFETIME = Duration.ofSeconds(12);

  /** Time for peers to answer; after it the clock is certain again, whoever has answered. */
  private static final Duration MAX_UNCERTAINTY = Duration.ofSeconds(3);

  private static final int MIN_PEERS = 2;
  private static final int MAX_OFFSETS = 16;
  private static final int MAX_DEPARTURES = 5;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final TimerService timers;
  private final InstantSource timeOfDay;
  private final Map<EntryVmId, Sample> samples = new HashMap<>();

  /** Milliseconds from the monotonic time to true time, by the time since when they hold. */
  private final TreeMap<Long, Long> offsets = new TreeMap<>();

  /** The offset of this VM's time of day when it was last read. */
  private long lastOwnMillis;

  /** Departures of this VM's time of day that are not decided yet, the oldest first. */
  private final List<Departure> departures = new ArrayList<>();

  /**
   * Both clocks of this VM at one moment.
   *
   * @param nanos the monotonic time
   * @param timeOfDayMillis the time of day in milliseconds since the epoch
   */
  record Reading(long nanos, long timeOfDayMillis) {}

  private record Departure(long atNanos, long byMillis) {}

  private record Sample(long offsetMillis, long takenNanos) {}

  private TrueClock(TimerService timers, InstantSource timeOfDay) {
    this.timers = timers;
    this.timeOfDay = timeOfDay;
    this.lastOwnMillis = ownOffsetMillis();
    offsets.put(timers.nowNanos(), lastOwnMillis);
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

  /**
   * Returns the true time, in milliseconds since the epoch, of a monotonic time. For times before
   * the last corrections it uses the offset that held then.
   */
  public long millisAt(long nanos) {
    Map.Entry<Long, Long> offset = offsets.floorEntry(nanos);
    return toMillis(nanos) + (offset == null ? offsets.firstEntry() : offset).getValue();
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
      departures.add(new Departure(timers.nowNanos(), own - lastOwnMillis));
      samples.clear();
    }
    lastOwnMillis = own;
    return departures.isEmpty();
  }

  /** Compares the clock with the peers, and corrects it if needed. */
  public void adjust() {
    long now = timers.nowNanos();
    boolean isCertain = isCertain();
    samples.values().removeIf(sample -> now - sample.takenNanos() > SAMPLE_LIFETIME.toNanos());
    boolean isWaiting =
        !isCertain
            && samples.size() < MIN_PEERS
            && now - Iterables.getLast(departures).atNanos() < MAX_UNCERTAINTY.toNanos();
    if (!isWaiting) {
      compare(lastOwnMillis);
      departures.clear();
    }
  }

  private void compare(long own) {
    if (samples.isEmpty()) {
      return;
    }
    List<Long> compared = new ArrayList<>();
    compared.add(own);
    samples.values().forEach(sample -> compared.add(sample.offsetMillis()));
    compared.sort(null);
    long median = compared.get((compared.size() - 1) / 2);
    long agreeing = compared.stream().filter(offset -> agree(offset, median)).count();
    if (2 * agreeing <= compared.size()) {
      return;
    }
    if (agree(own, median)) {
      correct(own);
    } else if (!agree(offsets.lastEntry().getValue(), median)) {
      correct(median);
    }
  }

  private static boolean agree(long a, long b) {
    return Math.abs(a - b) <= TOLERANCE_MILLIS;
  }

  private void correct(long offsetMillis) {
    long before = offsets.lastEntry().getValue();
    if (Math.abs(offsetMillis - before) < MIN_CORRECTION_MILLIS) {
      return;
    }
    if (!agree(before, offsetMillis)) {
      logger.atWarning().log(
          "event=true_time_corrected by_ms=%d peers=%d", offsetMillis - before, samples.size());
    }
    long sinceNanos = departures.isEmpty() ? timers.nowNanos() : departures.get(0).atNanos();
    long offset = before;
    for (Departure departure : suspensions(offsetMillis - before)) {
      offset += departure.byMillis();
      sinceNanos = departure.atNanos();
      offsets.put(sinceNanos, offset);
    }
    offsets.put(sinceNanos, offsetMillis);
    while (offsets.size() > MAX_OFFSETS) {
      offsets.pollFirstEntry();
    }
  }

  /**
   * Returns those departures that together make up the correction: at these the VM was suspended,
   * at the others its time of day was set. Returns none if no choice fits.
   */
  private List<Departure> suspensions(long correctionMillis) {
    int considered = Math.min(departures.size(), MAX_DEPARTURES);
    List<Departure> last = departures.subList(departures.size() - considered, departures.size());
    for (int choice = 1; choice < 1 << considered; choice++) {
      int chosen = choice;
      List<Departure> some =
          IntStream.range(0, considered)
              .filter(i -> (chosen >> i & 1) == 1)
              .mapToObj(last::get)
              .toList();
      if (agree(some.stream().mapToLong(Departure::byMillis).sum(), correctionMillis)) {
        return some;
      }
    }
    return List.of();
  }
}
