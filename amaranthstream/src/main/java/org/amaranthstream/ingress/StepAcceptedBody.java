package org.amaranthstream.ingress;

import org.amaranthstream.rollout.StepAccepted;

/** Answer to the submission of a training step. */
record StepAcceptedBody(int slots, String token) {

  static StepAcceptedBody of(StepAccepted accepted) {
    return new StepAcceptedBody(accepted.slots(), accepted.token());
  }
}
