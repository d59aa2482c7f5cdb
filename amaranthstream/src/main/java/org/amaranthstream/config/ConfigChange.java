package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import org.amaranthstream.ids.ConfigGeneration;

/**
 * An accepted change of the configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the generation that the change created
 * @param operator the name of the operator who made the change
 * @param at the time of the change by the clock of the daemon that accepted it; informational
 * @param summary a human-readable summary of the differences
 * @param nonce the unique identifier of the change
 */
public record ConfigChange(
    ConfigGeneration generation, String operator, Instant at, String summary, String nonce) {

  /** Creates a change. */
  public ConfigChange {
    checkNotNull(generation, "generation");
    checkNotNull(operator, "operator");
    checkNotNull(at, "at");
    checkNotNull(summary, "summary");
    checkNotNull(nonce, "nonce");
  }
}
