package org.amaranthstream.scaling;

/** Kind of an ordered server. */
public enum ServerKind {
  /** Stays until it is released. */
  REGULAR,
  /** Is cheaper, and may be reclaimed by the platform, together with all others of its zone. */
  RECLAIMABLE
}
