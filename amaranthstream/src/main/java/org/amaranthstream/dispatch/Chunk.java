package org.amaranthstream.dispatch;

import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;

/**
 * Part of a streamed answer.
 *
 * @param offset number of tokens of the answer before this part
 * @param tokens number of tokens in this part
 * @param text the text of this part
 * @param version the weight version that produced it, as the engine's stream names it
 * @param incarnation the incarnation of the engine that produced it
 */
public record Chunk(
    long offset,
    int tokens,
    String text,
    Optional<WeightVersion> version,
    Optional<Incarnation> incarnation) {}
