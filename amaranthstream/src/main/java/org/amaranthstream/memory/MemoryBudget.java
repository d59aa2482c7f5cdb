package org.amaranthstream.memory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A budget of bytes that the process keeps on its heap for others: bodies of requests, batch jobs,
 * texts and results.
 *
 * <p>Bytes are reserved before they are kept, and given back once nothing refers to them any more,
 * because the room is allocated again at once. If there is no room, caches are asked to evict
 * first; then a reservation fails or waits, in the order of arrival. Small reservations may
 * overtake large ones that wait, and may have a room of their own, so that clients who fill the
 * rest do not keep small requests out. Not thread safe: used on the thread of its timers.
 */
public final class MemoryBudget {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Share of the heap; the rest is for the program itself and for copies of short life. */
  private static final double HEAP_SHARE = 0.56;

  /** Share of the heap that only small reservations may use. */
  private static final double SMALL_HEAP_SHARE = 0.04;

  /** Reservations of at most this many bytes do not wait behind larger ones. */
  private static final long SMALL_BYTES = 64 * 1024;

  private final long capacityBytes;
  private final long smallReserveBytes;
  private final @Nullable TimerService timers;
  private final List<Cache> caches = new ArrayList<>();
  private final ArrayDeque<Waiter> smallWaiters = new ArrayDeque<>();
  private final ArrayDeque<Waiter> largeWaiters = new ArrayDeque<>();
  private long usedBytes;
  private boolean isGranting;

  /** Memory that can be given back at any time: its content is kept elsewhere or made again. */
  @FunctionalInterface
  public interface Cache {
    /** Gives back reservations of at least {@code bytes} if possible, the least useful first. */
    void evict(long bytes);
  }

  private MemoryBudget(@Nullable TimerService timers, long capacityBytes, long smallReserveBytes) {
    this.timers = timers;
    this.capacityBytes = capacityBytes;
    this.smallReserveBytes = smallReserveBytes;
  }

  /**
   * Creates a budget of {@code capacityBytes}.
   *
   * @throws IllegalArgumentException if {@code capacityBytes} is not positive
   */
  public static MemoryBudget of(TimerService timers, long capacityBytes) {
    return of(timers, capacityBytes, 0);
  }

  /**
   * Creates a budget of {@code capacityBytes}, beside which small reservations have a room of their
   * own.
   *
   * @throws IllegalArgumentException if {@code capacityBytes} is not positive, or if {@code
   *     smallReserveBytes} is negative
   */
  public static MemoryBudget of(TimerService timers, long capacityBytes, long smallReserveBytes) {
    checkArgument(capacityBytes > 0, "capacityBytes is %s, expected > 0", capacityBytes);
    checkArgument(
        smallReserveBytes >= 0, "smallReserveBytes is %s, expected >= 0", smallReserveBytes);
    return new MemoryBudget(checkNotNull(timers, "timers"), capacityBytes, smallReserveBytes);
  }

  /** Creates a budget that always has room. */
  public static MemoryBudget unlimited() {
    return new MemoryBudget(null, Long.MAX_VALUE / 2, 0);
  }

  /** Creates a budget for the heap of this process. */
  public static MemoryBudget ofHeap(TimerService timers) {
    long heapBytes = Runtime.getRuntime().maxMemory();
    return of(timers, (long) (heapBytes * HEAP_SHARE), (long) (heapBytes * SMALL_HEAP_SHARE));
  }

  /** Adds a cache, which must have reserved what it keeps. */
  public void addCache(Cache cache) {
    caches.add(checkNotNull(cache, "cache"));
  }

  /** Returns a reservation of no bytes, which can grow. */
  public Reservation open() {
    return new Reservation(this);
  }

  /** Returns the capacity in bytes. */
  public long capacityBytes() {
    return capacityBytes;
  }

  /** Returns the number of reserved bytes. */
  public long usedBytes() {
    return usedBytes;
  }

  private long limitFor(long totalBytes) {
    return totalBytes <= SMALL_BYTES ? capacityBytes + smallReserveBytes : capacityBytes;
  }

  /**
   * Takes the bytes if there is room, evicting caches if needed.
   *
   * @param totalBytes the size of the reservation with these bytes
   */
  boolean take(long bytes, long totalBytes) {
    long limit = limitFor(totalBytes);
    if (usedBytes + bytes > limit) {
      evict(usedBytes + bytes - limit);
    }
    boolean hasRoom = usedBytes + bytes <= limit;
    if (hasRoom) {
      usedBytes += bytes;
    }
    return hasRoom;
  }

  private void evict(long bytes) {
    long target = usedBytes - bytes;
    for (Cache cache : caches) {
      if (usedBytes > target) {
        cache.evict(usedBytes - target);
      }
    }
  }

  /** Takes the bytes even if the capacity is exceeded. */
  void force(long bytes) {
    if (!take(bytes, 0)) {
      usedBytes += bytes;
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "event=memory_exceeded used=%d capacity=%d", usedBytes, capacityBytes);
    }
  }

  /**
   * Takes the bytes for {@code owner} within {@code patience}, and calls {@code onDecided} with the
   * outcome.
   */
  void takeWithin(Reservation owner, long bytes, Duration patience, Consumer<Boolean> onDecided) {
    long totalBytes = owner.bytes() + bytes;
    boolean isSmall = totalBytes <= SMALL_BYTES;
    boolean mayOvertake = isSmall || (smallWaiters.isEmpty() && largeWaiters.isEmpty());
    if (mayOvertake && take(bytes, totalBytes)) {
      onDecided.accept(true);
    } else if (totalBytes > limitFor(totalBytes) || patience.isZero() || patience.isNegative()) {
      onDecided.accept(false);
    } else {
      Waiter waiter = new Waiter(owner, bytes, totalBytes, onDecided);
      (isSmall ? smallWaiters : largeWaiters).add(waiter);
      waiter.timeout = checkNotNull(timers).after(patience, () -> expire(waiter));
    }
  }

  private void expire(Waiter waiter) {
    if (smallWaiters.remove(waiter) || largeWaiters.remove(waiter)) {
      waiter.decide(false);
      grantWaiters();
    }
  }

  /** Removes what {@code owner} waits for, without a decision. */
  void cancelWaiting(Reservation owner) {
    if (cancelWaiting(smallWaiters, owner) | cancelWaiting(largeWaiters, owner)) {
      grantWaiters();
    }
  }

  private static boolean cancelWaiting(ArrayDeque<Waiter> waiters, Reservation owner) {
    List<Waiter> cancelled = waiters.stream().filter(waiter -> waiter.owner == owner).toList();
    waiters.removeAll(cancelled);
    cancelled.forEach(waiter -> waiter.timeout.cancel());
    return !cancelled.isEmpty();
  }

  void giveBack(long bytes) {
    usedBytes -= bytes;
    grantWaiters();
  }

  /**
   * Grants what waits and fits, the small reservations first, each kind in the order of arrival. A
   * decision may give back bytes itself; the outer loop then continues, so that the stack does not
   * grow with the number of waiters.
   */
  private void grantWaiters() {
    if (isGranting) {
      return;
    }
    isGranting = true;
    try {
      while (grantFirst(smallWaiters) || grantFirst(largeWaiters)) {
        // Continues until nothing fits.
      }
    } finally {
      isGranting = false;
    }
  }

  private boolean grantFirst(ArrayDeque<Waiter> waiters) {
    Waiter first = waiters.peek();
    if (first == null || !take(first.bytes, first.totalBytes)) {
      return false;
    }
    waiters.remove().decide(true);
    return true;
  }

  /** A reservation that waits for room. */
  private static final class Waiter {
    private final Reservation owner;
    private final long bytes;
    private final long totalBytes;
    private final Consumer<Boolean> onDecided;
    private Subscription timeout = () -> {};

    private Waiter(Reservation owner, long bytes, long totalBytes, Consumer<Boolean> onDecided) {
      this.owner = owner;
      this.bytes = bytes;
      this.totalBytes = totalBytes;
      this.onDecided = onDecided;
    }

    private void decide(boolean isTaken) {
      timeout.cancel();
      onDecided.accept(isTaken);
    }
  }
}
