package org.amaranthstream.membership;

import org.amaranthstream.ids.PoolId;

/**
 * Aggregated load of one pool in one availability zone.
 *
 * @param pool the pool
 * @param view the aggregate
 */
public record PoolZoneView(PoolId pool, ZoneView view) {}
