package org.amaranthstream.ingress;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/** One line of a streamed answer. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record PartBody(String text, int tokens, @Nullable Long version) {}
