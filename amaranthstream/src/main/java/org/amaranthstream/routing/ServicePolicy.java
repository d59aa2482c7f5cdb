package org.amaranthstream.routing;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;

/**
 * Policy of the operators' configuration for a service.
 *
 * @param id the id of the service
 * @param maxConnections the number of connections that each of its backend servers accepts in total
 * @param models the models that its engines serve, empty for a plain service
 * @param engine the capacity of each engine, empty for a plain service or if it is not stated
 * @param scaling the bounds and prices of ordered servers, empty if none may be ordered
 */
public record ServicePolicy(
    ServiceId id,
    int maxConnections,
    ImmutableList<ModelId> models,
    Optional<EngineCapacity> engine,
    Optional<ScalingPolicy> scaling) {}
