package org.amaranthstream.once;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * The incarnation of an entry VM that claims a key.
 *
 * @param vm the entry VM
 * @param incarnation its incarnation
 */
public record Claimant(EntryVmId vm, Incarnation incarnation) {

  /** Creates a claimant. */
  public Claimant {
    checkNotNull(vm, "vm");
    checkNotNull(incarnation, "incarnation");
  }

  /** Returns the claimant of an incarnation of {@code vm}. */
  public static Claimant of(EntryVmId vm, Incarnation incarnation) {
    return new Claimant(vm, incarnation);
  }
}
