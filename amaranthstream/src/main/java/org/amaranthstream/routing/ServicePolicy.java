package org.amaranthstream.routing;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;

/**
 * Policy of the operators' configuration for a service.
 *
 * @param id the id of the service
 * @param maxConnections the number of connections that each of its backend servers accepts in total
 * @param models the models that its engines serve, empty for a plain service
 */
public record ServicePolicy(ServiceId id, int maxConnections, ImmutableList<ModelId> models) {}
