package org.amaranthstream.placement;

import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;

/** A place where a request can run. */
public sealed interface Candidate {

  /** Returns how far away it is. */
  Locality locality();

  /** Returns the estimated number of requests that it holds. */
  int load();

  /** Returns the number of requests that it may hold. */
  int limit();

  /** Returns true if it has room for one more request. */
  default boolean hasRoom() {
    return load() < limit();
  }

  /**
   * A backend server of the own availability zone.
   *
   * @param server the server
   * @param load own requests in flight, or the report corrected by them if that is more
   * @param limit the learned concurrency limit
   */
  record Server(BackendServerId server, int load, int limit) implements Candidate {
    @Override
    public Locality locality() {
      return Locality.SAME_ZONE;
    }
  }

  /**
   * The servers of another availability zone.
   *
   * @param zone the zone
   * @param locality its distance
   * @param load requests that they hold, with own forwarded ones since the report
   * @param limit requests that they may hold
   */
  record Zone(AvailabilityZoneId zone, Locality locality, int load, int limit)
      implements Candidate {}
}
