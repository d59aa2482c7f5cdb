package org.amaranthstream.weights;

import com.google.common.collect.ImmutableMap;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/**
 * What an engine says of its orders.
 *
 * @param isBusy true while an order is carried out
 * @param orders the number of orders that it has accepted since its start
 * @param versions the weight version of each model that it holds
 */
public record ServerReport(
    boolean isBusy, long orders, ImmutableMap<ModelId, WeightVersion> versions) {}
