package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;

/**
 * What a trainer has kept of a step. The trainer returns it with its next pull, and a slot that it
 * has is never sent again.
 *
 * @param step the step
 * @param specification digest of the step's specification
 * @param pull number of the pull that the token's page answered, 0 for the submission
 * @param owner the entry VM that generates the step; a hint, empty after a handoff
 * @param delivered the slots delivered up to and with the token's page
 */
public record DeliveryToken(
    StepId step,
    SpecDigest specification,
    long pull,
    Optional<EntryVmId> owner,
    SlotSet delivered) {

  /** Creates a token. */
  public DeliveryToken {
    checkNotNull(step, "step");
    checkNotNull(specification, "specification");
    checkArgument(pull >= 0, "pull is negative: %s", pull);
    checkNotNull(owner, "owner");
    checkNotNull(delivered, "delivered");
  }

  /** Returns the token of a submission. */
  static DeliveryToken initial(StepId step, StepSpec spec, EntryVmId owner) {
    return new DeliveryToken(
        step, spec.digest(), 0, Optional.of(owner), SlotSet.empty(spec.slots()));
  }

  /** Returns the token of a page of {@code samples} that answers {@code pull}. */
  DeliveryToken next(long pull, Optional<EntryVmId> owner, Iterable<Integer> samples) {
    return new DeliveryToken(step, specification, pull, owner, delivered.with(samples));
  }
}
