package org.amaranthstream.ingress;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/** One line of a streamed response. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ChunkBody(String text, int tokens, @Nullable Long version) {}
