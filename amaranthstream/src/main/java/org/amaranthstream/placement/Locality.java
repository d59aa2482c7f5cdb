package org.amaranthstream.placement;

/** Distance of a candidate; lower ordinals are nearer. */
public enum Locality {
  /** The local availability zone. */
  SAME_ZONE,
  /** Another availability zone of the local region. */
  SAME_REGION,
  /** Another region, over a link that is billed by volume. */
  OTHER_REGION
}
