package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;

/**
 * The record of the slots of a step that a trainer has stored. The trainer sends it with its next
 * pull, and the slots in it are never sent again.
 *
 * @param step the step
 * @param specification digest of the step's specification
 * @param pull number of the pull whose page carried the token, 0 for a submission
 * @param owner the entry VM that generates the step, as a hint; empty if a draining owner has no
 *     samples left
 * @param delivered the slots delivered up to and including the token's page
 */
public record DeliveryToken(
    StepId step,
    SpecDigest specification,
    long pull,
    Optional<EntryVmId> owner,
    SlotSet delivered) {

  /**
   * Creates a token.
   *
   * @throws IllegalArgumentException if {@code pull} is negative
   */
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

  /** Returns the token of a page with {@code sentSlots} in response to {@code pull}. */
  DeliveryToken next(long pull, Optional<EntryVmId> owner, Iterable<Integer> sentSlots) {
    return new DeliveryToken(step, specification, pull, owner, delivered.with(sentSlots));
  }
}
