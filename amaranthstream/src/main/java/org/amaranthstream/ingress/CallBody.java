package org.amaranthstream.ingress;

import org.jspecify.annotations.Nullable;

/** Body of a call to a class of a model pool. */
record CallBody(@Nullable String prompt, @Nullable Integer maxTokens, @Nullable String affinity) {}
