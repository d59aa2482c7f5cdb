package org.amaranthstream.dispatch.http;

import org.jspecify.annotations.Nullable;

/** One line of the response stream of a model engine. */
record StreamLine(
    @Nullable String attempt,
    long offset,
    int tokens,
    @Nullable String text,
    @Nullable Long version,
    @Nullable String incarnation,
    boolean end,
    @Nullable String finishReason) {}
