package org.amaranthstream.standins.engine;

import org.jspecify.annotations.Nullable;

/** Order to load a version of the weights. */
record Order(@Nullable String type, @Nullable String model, long version, long fencing) {}
