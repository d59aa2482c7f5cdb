package org.amaranthstream.memory;

/**
 * A hold on the bytes of a {@link Reservation}, owned by whatever refers to these bytes. They are
 * given back once the reservation and all holds on it are released.
 *
 * <p>Clear the references to the bytes first and release the hold then: the room may be allocated
 * again before {@link #release} returns. Not thread safe.
 */
public final class Hold {
  private final Reservation reservation;
  private boolean isReleased;

  Hold(Reservation reservation) {
    this.reservation = reservation;
  }

  /** Ends the hold; has no effect if it was released before. */
  public void release() {
    if (!isReleased) {
      isReleased = true;
      reservation.onHoldEnded();
    }
  }
}
