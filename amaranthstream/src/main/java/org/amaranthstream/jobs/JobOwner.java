package org.amaranthstream.jobs;

import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * Ownership record of a job: the daemon that runs it, and the facts about the job that other
 * daemons need without reading the whole job.
 *
 * @param vm the owner's entry VM
 * @param incarnation the incarnation of the owner's process
 * @param epoch the number of owners so far, including this one
 * @param isEnded true once the caller has ended the job
 * @param acceptedMillis the time at which the job was accepted, in Unix milliseconds
 * @param items the number of items
 * @param parts the number of store entries that hold the job
 * @param nonce a random number that distinguishes otherwise equal records of different writers
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

  /** Returns the record after a takeover by another daemon. */
  public JobOwner takenOverBy(EntryVmId newVm, Incarnation newIncarnation, long newNonce) {
    return new JobOwner(
        newVm, newIncarnation, epoch + 1, isEnded, acceptedMillis, items, parts, newNonce);
  }

  /** Returns a record of the same owner that conflicts with changes of this one. */
  public JobOwner renewed(long newNonce) {
    return new JobOwner(vm, incarnation, epoch, isEnded, acceptedMillis, items, parts, newNonce);
  }

  /** Returns the record after the end of the job. */
  public JobOwner ended(long newNonce) {
    return new JobOwner(vm, incarnation, epoch, true, acceptedMillis, items, parts, newNonce);
  }

  /** Returns true if that incarnation of that entry VM owns the job. */
  public boolean isHeldBy(EntryVmId otherVm, Incarnation otherIncarnation) {
    return vm.equals(otherVm) && incarnation.equals(otherIncarnation);
  }
}
