package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * The incarnation of a daemon that claims a key.
 *
 * @param vm the entry VM of the daemon
 * @param incarnation the incarnation of the daemon
 */
public record Claimant(EntryVmId vm, Incarnation incarnation) {

  /** Creates a claimant. */
  public Claimant {
    checkNotNull(vm, "vm");
    checkNotNull(incarnation, "incarnation");
  }

  /** Returns the claimant with the given entry VM and incarnation. */
  public static Claimant of(EntryVmId vm, Incarnation incarnation) {
    return new Claimant(vm, incarnation);
  }
}
