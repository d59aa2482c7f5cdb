package org.amaranthstream.ingress;

import org.amaranthstream.rollout.StepAccepted;

/** Response body for the submission of a training step. */
record StepAcceptedBody(int slots, String token) {

  static StepAcceptedBody of(StepAccepted accepted) {
    return new StepAcceptedBody(accepted.slots(), accepted.token());
  }
}
