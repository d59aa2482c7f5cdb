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

/**
 * A budget of bytes that the process keeps on its heap for others: bodies of requests, batch jobs,
 * texts and results.
 *
 * <p>Bytes are reserved before they are kept, and given back once nothing refers to them any more,
 * because the room is allocated again at once. If there is no room, caches are asked to evict
 * first; then a reservation fails or waits, in the order of arrival. Small reservations may
 * overtake large ones that wait. Not thread safe: used on the thread of its timers.
 */
public final class MemoryBudget {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Share of the heap; the rest is for the program itself and for copies of short life. */
  private static final double HEAP_SHARE = 0.6;

  /** Reservations of at most this many bytes do not wait behind larger ones. */
  private static final long SMALL_BYTES = 64 * 1024;

  private final long capacityBytes;
  private final TimerService timers;
  private final List<Cache> caches = new ArrayList<>();
  private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
  private long usedBytes;
  private boolean isGranting;

  /** Memory that can be given back at any time: its content is kept elsewhere or made again. */
  @FunctionalInterface
  public interface Cache {
    /** Gives back reservations of at least {@code bytes} if possible, the least useful first. */
    void evict(long bytes);
  }

  private MemoryBudget(TimerService timers, long capacityBytes) {
    this.timers = timers;
    this.capacityBytes = capacityBytes;
  }

  /**
   * Creates a budget of {@code capacityBytes}.
   *
   * @throws IllegalArgumentException if {@code capacityBytes} is not positive
   */
  public static MemoryBudget of(TimerService timers, long capacityBytes) {
    checkArgument(capacityBytes > 0, "capacityBytes is %s, expected > 0", capacityBytes);
    return new MemoryBudget(checkNotNull(timers, "timers"), capacityBytes);
  }

  /** Creates a budget for the heap of this process. */
  public static MemoryBudget ofHeap(TimerService timers) {
    return of(timers, (long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
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

  /** Takes the bytes if there is room, evicting caches if needed. */
  boolean take(long bytes) {
    if (usedBytes + bytes > capacityBytes) {
      evict(usedBytes + bytes - capacityBytes);
    }
    boolean hasRoom = usedBytes + bytes <= capacityBytes;
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
    if (!take(bytes)) {
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
    boolean mayOvertake = waiters.isEmpty() || bytes <= SMALL_BYTES;
    if (mayOvertake && take(bytes)) {
      onDecided.accept(true);
    } else if (bytes > capacityBytes || patience.isZero() || patience.isNegative()) {
      onDecided.accept(false);
    } else {
      Waiter waiter = new Waiter(owner, bytes, onDecided);
      waiters.add(waiter);
      waiter.timeout = timers.after(patience, () -> expire(waiter));
    }
  }

  private void expire(Waiter waiter) {
    if (waiters.remove(waiter)) {
      waiter.decide(false);
      grantWaiters();
    }
  }

  /** Removes what {@code owner} waits for, without a decision. */
  void cancelWaiting(Reservation owner) {
    List<Waiter> cancelled = waiters.stream().filter(waiter -> waiter.owner == owner).toList();
    waiters.removeAll(cancelled);
    cancelled.forEach(waiter -> waiter.timeout.cancel());
    if (!cancelled.isEmpty()) {
      grantWaiters();
    }
  }

  void giveBack(long bytes) {
    usedBytes -= bytes;
    grantWaiters();
  }

  /**
   * Grants what waits and fits, in the order of arrival. A decision may give back bytes itself; the
   * outer loop then continues, so that the stack does not grow with the number of waiters.
   */
  private void grantWaiters() {
    if (isGranting) {
      return;
    }
    isGranting = true;
    try {
      while (!waiters.isEmpty() && take(waiters.peek().bytes)) {
        waiters.remove().decide(true);
      }
    } finally {
      isGranting = false;
    }
  }

  /** A reservation that waits for room. */
  private static final class Waiter {
    private final Reservation owner;
    private final long bytes;
    private final Consumer<Boolean> onDecided;
    private Subscription timeout = () -> {};

    private Waiter(Reservation owner, long bytes, Consumer<Boolean> onDecided) {
      this.owner = owner;
      this.bytes = bytes;
      this.onDecided = onDecided;
    }

    private void decide(boolean isTaken) {
      timeout.cancel();
      onDecided.accept(isTaken);
    }
  }
}
