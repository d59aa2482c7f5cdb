package org.amaranthstream.placement;

/** Decision where a request runs, with its reason. */
public sealed interface PlacementDecision {

  /**
   * The request runs at {@code candidate}.
   *
   * @param candidate the chosen candidate
   * @param reason the figures that decided
   */
  record Place(Candidate candidate, String reason) implements PlacementDecision {}

  /**
   * No candidate has capacity now.
   *
   * @param reason the figures that decided
   */
  record NoCapacity(String reason) implements PlacementDecision {}
}
