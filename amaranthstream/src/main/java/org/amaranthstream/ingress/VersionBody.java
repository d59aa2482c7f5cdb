package org.amaranthstream.ingress;

import org.jspecify.annotations.Nullable;

/** Body of the announcement of a weight version, and of its answer. */
record VersionBody(@Nullable Long version) {}
