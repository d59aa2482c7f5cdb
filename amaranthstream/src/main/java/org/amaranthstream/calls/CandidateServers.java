package org.amaranthstream.calls;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.servers.TrackedServer;

/**
 * Servers that may run one call. Immutable.
 *
 * @param servers the servers
 * @param permitted the servers that the sender of a relayed call permits; any if there are none
 */
record CandidateServers(
    ImmutableList<TrackedServer> servers, ImmutableSet<BackendServerId> permitted) {

  /** Returns those of {@code servers} that are permitted. */
  static CandidateServers of(List<TrackedServer> servers, ImmutableSet<BackendServerId> permitted) {
    ImmutableList<TrackedServer> candidates =
        servers.stream()
            .filter(server -> permitted.isEmpty() || permitted.contains(server.id()))
            .collect(ImmutableList.toImmutableList());
    return new CandidateServers(candidates, permitted);
  }

  /** Returns the candidates among other servers. */
  CandidateServers among(List<TrackedServer> others) {
    return of(others, permitted);
  }
}
