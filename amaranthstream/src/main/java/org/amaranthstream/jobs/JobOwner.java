package org.amaranthstream.jobs;

import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * Who runs a job, and what of the job must be known without reading it whole.
 *
 * @param vm the entry VM
 * @param incarnation the start of its process
 * @param epoch the number of owners so far
 * @param isEnded true once the caller has ended the job
 * @param acceptedMillis Unix milliseconds of the acceptance
 * @param items the number of items
 * @param parts the number of values in the store that hold the job
 * @param nonce distinguishes records of different writers
 */
public record JobOwner(
    EntryVmId vm,
    Incarnation incarnation,
    long epoch,
    boolean isEnded,
    long acceptedMillis,
    int items,
    int parts,
    long nonce) {

  /** Returns the record of the next owner. */
  public JobOwner takenOverBy(EntryVmId newVm, Incarnation newIncarnation, long newNonce) {
    return new JobOwner(
        newVm, newIncarnation, epoch + 1, isEnded, acceptedMillis, items, parts, newNonce);
  }

  /** Returns the record of the job once it has ended. */
  public JobOwner ended(long newNonce) {
    return new JobOwner(vm, incarnation, epoch, true, acceptedMillis, items, parts, newNonce);
  }

  /** Returns true if the job is owned by that start of that entry VM's process. */
  public boolean isHeldBy(EntryVmId otherVm, Incarnation otherIncarnation) {
    return vm.equals(otherVm) && incarnation.equals(otherIncarnation);
  }
}
