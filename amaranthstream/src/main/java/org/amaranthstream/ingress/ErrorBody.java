package org.amaranthstream.ingress;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.amaranthstream.result.ErrorDetail;
import org.jspecify.annotations.Nullable;

/** Body of an error response. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ErrorBody(
    int code,
    String name,
    String message,
    @Nullable String requestId,
    @Nullable Long retryAfterMs) {

  static ErrorBody of(ErrorDetail error, @Nullable String requestId, @Nullable Long retryAfterMs) {
    return new ErrorBody(
        error.code().number(), error.code().name(), error.message(), requestId, retryAfterMs);
  }
}
