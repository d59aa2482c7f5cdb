package org.amaranthstream.ingress;

import org.jspecify.annotations.Nullable;

/** Request body of a call to a work class of a model pool. */
record CallBody(@Nullable String prompt, @Nullable Integer maxTokens, @Nullable String affinity) {}
