package org.amaranthstream.standins.engine;

import org.jspecify.annotations.Nullable;

/**
 * Line of a streamed response that carries tokens.
 *
 * @param attempt id of the attempt that the line belongs to
 * @param offset number of tokens of the output before this line
 * @param tokens number of tokens in {@code text}
 * @param text the tokens
 * @param version the weight version that generated them
 * @param incarnation incarnation of the engine
 */
record ChunkLine(
    String attempt,
    long offset,
    int tokens,
    String text,
    @Nullable Long version,
    @Nullable String incarnation) {}
