package org.amaranthstream.ingress;

import org.jspecify.annotations.Nullable;

/** Consecutive tokens of an answer that one weight version produced. */
record SegmentBody(@Nullable Long version, long tokens) {}
