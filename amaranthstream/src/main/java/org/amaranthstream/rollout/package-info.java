/**
 * Training steps, whose slots are generated on the backend servers and delivered to trainers.
 *
 * <p>The trainer holds a delivery token, which records the slots that it has stored. The owner of a
 * step keeps its state in memory only, and the state is lost when the owner stops.
 */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.rollout;
