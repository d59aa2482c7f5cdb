/** Measurements of training steps: generate-ahead policies and delivery tokens. */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.bench.rollout;
