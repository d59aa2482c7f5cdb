package org.amaranthstream.ingress;

import org.jspecify.annotations.Nullable;

/** Request and response body of the announcement of a weight version. */
record VersionBody(@Nullable Long version) {}
