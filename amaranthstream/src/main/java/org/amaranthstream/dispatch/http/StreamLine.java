package org.amaranthstream.dispatch.http;

import org.jspecify.annotations.Nullable;

/** One line of a model engine's answer stream. */
record StreamLine(
    @Nullable String attempt,
    long offset,
    int tokens,
    @Nullable String text,
    @Nullable Long version,
    @Nullable String incarnation,
    boolean end,
    @Nullable String finishReason) {}
