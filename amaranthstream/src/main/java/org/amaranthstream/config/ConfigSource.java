package org.amaranthstream.config;

/** Where a daemon learned a configuration from. */
public enum ConfigSource {
  /** Nothing has been learned. */
  NONE,
  /** An operator's change that this daemon took. */
  PUT,
  /** The platform's key-value service. */
  PLATFORM,
  /** A peer. */
  PEER,
  /** The data folder. */
  DISK
}
