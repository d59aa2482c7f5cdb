package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.PoolId;

/** Source of what is known about the backend servers of a pool. Read on the decision thread. */
public interface BackendDirectory {

  /** Returns the servers of {@code pool} in the own availability zone, leaving ones included. */
  ImmutableList<BackendView> local(PoolId pool);

  /** Returns the reachable other availability zones that have servers of {@code pool}. */
  ImmutableList<ZoneView> remote(PoolId pool);
}
