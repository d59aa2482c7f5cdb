package org.amaranthstream.weights;

import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Order to an engine to load a weight version.
 *
 * @param model the model
 * @param version the version to load
 * @param expectedOrders the number of orders that the engine must have accepted before this one, so
 *     that a delayed order has no effect
 * @param holder the entry VM that sends the order
 */
public record SwapRequest(
    ModelId model, WeightVersion version, long expectedOrders, EntryVmId holder) {}
