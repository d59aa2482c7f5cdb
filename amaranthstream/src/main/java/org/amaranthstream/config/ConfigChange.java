package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import org.amaranthstream.ids.ConfigGeneration;

/**
 * One accepted change of the configuration.
 *
 * @param generation the generation that it made
 * @param operator who made it
 * @param at when, by the clock of the daemon that took it
 * @param summary what changed, for a person
 * @param nonce tells this change from all others
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
