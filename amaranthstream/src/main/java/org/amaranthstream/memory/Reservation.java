package org.amaranthstream.memory;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Bytes that are reserved in a {@link MemoryBudget} until they are released. A released reservation
 * takes no further bytes, and gives its bytes back once no {@link Hold} on it is left. Not thread
 * safe.
 */
public final class Reservation {
  private final MemoryBudget budget;
  private long bytes;
  private int holds;
  private boolean isReleased;

  Reservation(MemoryBudget budget) {
    this.budget = budget;
  }

  /** Returns the number of reserved bytes. */
  public long bytes() {
    return bytes;
  }

  /** Returns the capacity of the budget in bytes. */
  public long capacityBytes() {
    return budget.capacityBytes();
  }

  /** Reserves more bytes; returns false if there is no room. */
  public boolean tryGrow(long more) {
    checkArgument(more >= 0, "more is %s, expected >= 0", more);
    if (isReleased || !budget.take(more, bytes + more)) {
      return false;
    }
    bytes += more;
    return true;
  }

  /**
   * Reserves more bytes once there is room.
   *
   * @param patience the time to wait for room
   * @param onDecided called once, with true if the bytes are reserved; possibly before the return.
   *     Not called if the reservation is released while it waits
   */
  public void growWithin(long more, Duration patience, Consumer<Boolean> onDecided) {
    checkArgument(more >= 0, "more is %s, expected >= 0", more);
    if (isReleased) {
      onDecided.accept(false);
      return;
    }
    budget.takeWithin(this, more, patience, isTaken -> onDecided.accept(isTaken && keep(more)));
  }

  /** Keeps bytes that were taken, or gives them back if the reservation was released meanwhile. */
  private boolean keep(long more) {
    if (isReleased) {
      budget.giveBack(more);
      return false;
    }
    bytes += more;
    return true;
  }

  /** Reserves more bytes of state that must be kept, even if the capacity is exceeded. */
  public void forceGrow(long more) {
    checkArgument(more >= 0, "more is %s, expected >= 0", more);
    if (!isReleased) {
      budget.force(more);
      bytes += more;
    }
  }

  /** Changes the reservation to {@code wanted} bytes; returns false if there is no room. */
  public boolean tryResize(long wanted) {
    checkArgument(wanted >= 0, "wanted is %s, expected >= 0", wanted);
    if (wanted > bytes) {
      return tryGrow(wanted - bytes);
    }
    shrink(bytes - wanted);
    return true;
  }

  /** Gives some of the bytes back; has no effect after the release. */
  public void shrink(long fewer) {
    if (isReleased) {
      return;
    }
    checkArgument(fewer >= 0 && fewer <= bytes, "fewer is %s of %s bytes", fewer, bytes);
    bytes -= fewer;
    budget.giveBack(fewer);
  }

  /**
   * Returns a hold, which keeps the bytes reserved after the release for as long as its owner still
   * refers to them.
   */
  public Hold hold() {
    holds++;
    return new Hold(this);
  }

  void onHoldEnded() {
    holds--;
    giveBackUnlessHeld();
  }

  /**
   * Ends the reservation: cancels what it waits for, and gives all bytes back once no hold is left.
   * Has no effect if it was released before.
   */
  public void release() {
    if (isReleased) {
      return;
    }
    isReleased = true;
    budget.cancelWaiting(this);
    giveBackUnlessHeld();
  }

  private void giveBackUnlessHeld() {
    if (!isReleased || holds > 0) {
      return;
    }
    long all = bytes;
    bytes = 0;
    if (all > 0) {
      budget.giveBack(all);
    }
  }
}
