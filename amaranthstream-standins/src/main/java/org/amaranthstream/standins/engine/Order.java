package org.amaranthstream.standins.engine;

import org.jspecify.annotations.Nullable;

/** JSON body of an order to load a weight version, with the fencing token of its sender. */
record Order(@Nullable String type, @Nullable String model, long version, long fencing) {}
