package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.PoolId;

/** Directory of the backend servers of each pool. Called on the decision thread. */
public interface BackendDirectory {

  /** Returns the servers of {@code pool} in the local availability zone, including leaving ones. */
  ImmutableList<BackendView> local(PoolId pool);

  /** Returns the reachable other availability zones with servers of {@code pool}. */
  ImmutableList<ZoneView> remote(PoolId pool);
}
