package org.amaranthstream.config;

/** Source from which a daemon obtained its active configuration. */
public enum ConfigSource {
  /** No configuration has been obtained. */
  NONE,
  /** A change that an operator sent to this daemon. */
  PUT,
  /** The platform's key-value service. */
  PLATFORM,
  /** A peer. */
  PEER,
  /** The file in the data folder. */
  DISK
}
