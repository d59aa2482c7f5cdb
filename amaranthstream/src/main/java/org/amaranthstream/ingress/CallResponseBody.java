package org.amaranthstream.ingress;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Body of a complete response, and the last line of a streamed response. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record CallResponseBody(
    String requestId,
    @Nullable String text,
    long tokens,
    String finishReason,
    List<SegmentBody> segments,
    @Nullable Boolean end) {}
