package org.amaranthstream.ingress;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Body of a whole answer, and last line of a streamed one. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record AnswerBody(
    String requestId,
    @Nullable String text,
    long tokens,
    String finishReason,
    List<SegmentBody> segments,
    @Nullable Boolean end) {}
