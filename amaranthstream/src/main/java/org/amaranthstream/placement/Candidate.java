package org.amaranthstream.placement;

import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;

/** Server or remote zone on which a request can run. */
public sealed interface Candidate {

  /** Returns the distance of the candidate. */
  Locality locality();

  /** Returns the estimated number of requests in flight. */
  int load();

  /** Returns the maximum number of requests in flight. */
  int limit();

  /** Returns true if the candidate can take one more request. */
  default boolean hasCapacity() {
    return load() < limit();
  }

  /**
   * A backend server of the local availability zone.
   *
   * @param server the server
   * @param load requests of this daemon in flight, or the reported load corrected by them if that
   *     is higher
   * @param limit the concurrency limit
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
   * @param locality the distance of the zone
   * @param load requests in flight on the servers, including those that this daemon forwarded since
   *     the report
   * @param limit maximum number of requests in flight on the servers
   */
  record Zone(AvailabilityZoneId zone, Locality locality, int load, int limit)
      implements Candidate {}
}
