package org.amaranthstream.ingress;

import org.jspecify.annotations.Nullable;

/** Consecutive tokens of a response that one weight version generated. */
record SegmentBody(@Nullable Long version, long tokens) {}
