package org.amaranthstream.placement;

/** Distance of a candidate; lower ordinals are nearer. */
public enum Locality {
  /** The own availability zone. */
  SAME_ZONE,
  /** Another availability zone of the own region. */
  SAME_REGION,
  /** Another region, over the link that is paid by volume. */
  OTHER_REGION
}
