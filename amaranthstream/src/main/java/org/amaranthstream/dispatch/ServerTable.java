package org.amaranthstream.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.membership.BackendView;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.placement.ConcurrencyLimit;
import org.amaranthstream.placement.ServerHealth;

/** A table of the servers of the local availability zone. Used on the decision thread only. */
final class ServerTable {
  private final BackendDirectory directory;
  private final ConcurrencyLimit.Factory limits;
  private final ServerHealth.Factory healths;
  private final Map<BackendServerId, ServerState> states = new HashMap<>();

  ServerTable(
      BackendDirectory directory, ConcurrencyLimit.Factory limits, ServerHealth.Factory healths) {
    this.directory = directory;
    this.limits = limits;
    this.healths = healths;
  }

  /** Returns the servers of a pool, updated from the directory. */
  ImmutableList<ServerState> servers(PoolId pool) {
    ImmutableList.Builder<ServerState> servers = ImmutableList.builder();
    for (BackendView view : directory.local(pool)) {
      servers.add(state(view));
    }
    return servers.build();
  }

  /** Removes servers of a pool that the directory does not list and that run no attempt. */
  void removeUnlisted(PoolId pool) {
    ImmutableSet<BackendServerId> listed =
        directory.local(pool).stream()
            .map(view -> view.server().id())
            .collect(ImmutableSet.toImmutableSet());
    states
        .values()
        .removeIf(
            state ->
                state.server.pool().equals(pool)
                    && state.running.isEmpty()
                    && !listed.contains(state.server.id()));
  }

  /** Returns all servers that are in the table. */
  Iterable<ServerState> all() {
    return states.values();
  }

  private ServerState state(BackendView view) {
    BackendServer server = view.server();
    ServerState known = states.get(server.id());
    if (known == null || isOtherAddress(known.server, server)) {
      known = create(view);
      states.put(server.id(), known);
    }
    known.update(view);
    return known;
  }

  private ServerState create(BackendView view) {
    int slots = view.report().map(LoadReport::slots).orElse(0);
    return new ServerState(view.server(), limits.create(slots), healths.create());
  }

  private static boolean isOtherAddress(BackendServer known, BackendServer listed) {
    return known.port() != listed.port() || !known.host().equals(listed.host());
  }
}
