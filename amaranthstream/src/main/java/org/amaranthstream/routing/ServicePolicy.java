package org.amaranthstream.routing;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;

/**
 * What the operators say of a service.
 *
 * @param id the service
 * @param maxConnections connections that one of its backend servers accepts from all callers
 * @param models the models that its engines serve, empty for a plain service
 */
public record ServicePolicy(ServiceId id, int maxConnections, ImmutableList<ModelId> models) {}
