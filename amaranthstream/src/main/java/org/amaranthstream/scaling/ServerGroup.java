package org.amaranthstream.scaling;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.AvailabilityZoneId;

/** The servers of one service in one zone that are of one kind. */
public record ServerGroup(AvailabilityZoneId zone, ServerKind kind) {

  /** Creates a group. */
  public ServerGroup {
    checkNotNull(zone, "zone");
    checkNotNull(kind, "kind");
  }
}
