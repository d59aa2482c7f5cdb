package org.amaranthstream.standins.engine;

import org.jspecify.annotations.Nullable;

/** Line of a streamed answer that carries tokens. */
record ChunkLine(
    String attempt,
    long offset,
    int tokens,
    String text,
    @Nullable Long version,
    @Nullable String incarnation) {}
