package org.amaranthstream.weights;

import com.google.common.collect.ImmutableMap;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Report of an engine about its orders and weight versions.
 *
 * @param isBusy true while the engine executes an order
 * @param orders the number of orders that the engine has accepted since its start
 * @param versions the loaded weight version of each model
 */
public record ServerReport(
    boolean isBusy, long orders, ImmutableMap<ModelId, WeightVersion> versions) {}
