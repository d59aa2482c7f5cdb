package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The configuration in force, with the YAML that peers are told.
 *
 * @param config the configuration
 * @param yaml its YAML, as the operator wrote it; empty for generation 0
 */
public record AppliedConfig(OperatorConfig config, String yaml) {

  /** Creates a value. */
  public AppliedConfig {
    checkNotNull(config, "config");
    checkNotNull(yaml, "yaml");
  }
}
