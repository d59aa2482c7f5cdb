package org.amaranthstream.placement;

/** Where a request runs, with the reason. */
public sealed interface PlacementDecision {

  /**
   * The request runs at {@code candidate}.
   *
   * @param candidate the choice
   * @param reason the figures that decided
   */
  record Place(Candidate candidate, String reason) implements PlacementDecision {}

  /**
   * No candidate has room now.
   *
   * @param reason the figures that decided
   */
  record NoRoom(String reason) implements PlacementDecision {}
}
