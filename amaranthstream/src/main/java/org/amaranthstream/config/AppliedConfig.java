package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The active configuration together with its YAML source, which is sent to peers.
 *
 * <p>Immutable and thread safe.
 *
 * @param config the decoded configuration
 * @param yaml the YAML as the operator wrote it; empty for generation 0
 */
public record AppliedConfig(OperatorConfig config, String yaml) {

  /** Creates an applied configuration. */
  public AppliedConfig {
    checkNotNull(config, "config");
    checkNotNull(yaml, "yaml");
  }
}
