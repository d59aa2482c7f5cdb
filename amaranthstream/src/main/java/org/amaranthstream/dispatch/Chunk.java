package org.amaranthstream.dispatch;

import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;

/**
 * Part of a response.
 *
 * @param offset number of tokens in the response before this chunk
 * @param tokens number of tokens in this chunk
 * @param text text of this chunk
 * @param version weight version that generated this chunk, if the engine's stream states it
 * @param incarnation incarnation of the engine that generated this chunk, if the stream states it
 */
public record Chunk(
    long offset,
    int tokens,
    String text,
    Optional<WeightVersion> version,
    Optional<Incarnation> incarnation) {}
