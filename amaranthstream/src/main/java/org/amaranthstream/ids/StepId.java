package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifier of one training step of one trainer.
 *
 * <p>Immutable and thread safe.
 *
 * @param trainer the trainer that consumes the step
 * @param number the step's number within the trainer's run
 */
public record StepId(TrainerId trainer, StepNumber number) {

  /** Creates an id. */
  public StepId {
    checkNotNull(trainer, "trainer");
    checkNotNull(number, "number");
  }

  /** Returns the id of step {@code number} of {@code trainer}. */
  public static StepId of(TrainerId trainer, long number) {
    return new StepId(trainer, StepNumber.of(number));
  }

  @Override
  public String toString() {
    return trainer + "/" + number;
  }
}
