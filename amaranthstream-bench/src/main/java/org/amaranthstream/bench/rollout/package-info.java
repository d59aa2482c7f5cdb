/** Measurements of training steps: generate-ahead, delivery tokens and claim pages. */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.bench.rollout;
