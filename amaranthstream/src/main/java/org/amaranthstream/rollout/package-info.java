/**
 * Training steps: their slots are generated on the backend servers and delivered to trainers.
 *
 * <p>A delivery token, which travels with the trainer, says what was delivered. No state of a step
 * outlives its owner.
 */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.rollout;
