package org.amaranthstream.dispatch.http;

import io.vertx.core.AsyncResult;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.http.ConnectionUses;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.http.ResponseOrigin;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.BackendServerId;

/**
 * An attempt that sends one HTTP request to a plain service. The bytes of the response body are
 * passed on as the ISO 8859-1 characters of one chunk.
 */
final class CallAttempt extends HttpAttempt {
  private static final int FIRST_SERVER_ERROR = 500;
  private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

  private final Payload.Call call;

  CallAttempt(
      BackendServerId server,
      AttemptId id,
      Payload.Call call,
      AttemptEventQueue events,
      ConnectionUses connectionUses) {
    super(server, id, events, connectionUses);
    this.call = call;
  }

  @Override
  String path() {
    return call.path();
  }

  @Override
  Buffer prepare(HttpClientRequest request) {
    request.putHeader("Content-Type", call.contentType());
    return Buffer.buffer(call.body());
  }

  /**
   * Returns true for every status below 500. A client error such as 404 is the response of the
   * service to the caller and is passed on.
   */
  @Override
  boolean isResult(HttpClientResponse response) {
    return response.statusCode() < FIRST_SERVER_ERROR;
  }

  @Override
  void onResult(HttpClientResponse response) {
    if (response.getHeader(ResponseOrigin.HEADER) == null) {
      endInvalid("response names no attempt");
      return;
    }
    response.body().onComplete(body -> onBody(response, body));
  }

  private void onBody(HttpClientResponse response, AsyncResult<Buffer> body) {
    if (body.failed()) {
      onLost(body.cause());
      return;
    }
    String text = body.result().toString(StandardCharsets.ISO_8859_1);
    events().chunk(new Chunk(0, 0, text, Optional.empty(), Optional.empty()));
    String type = response.getHeader("Content-Type");
    end(
        new AttemptEnd.Finished(
            new CompletedResponse(
                server(),
                HttpStatus.of(response.statusCode()),
                type == null ? DEFAULT_CONTENT_TYPE : type,
                0,
                "whole")));
  }

  @Override
  AttemptEnd errorEnd(HttpClientResponse response, Buffer body) {
    if (isUnavailable(response) && "true".equals(response.getHeader("Not-Run"))) {
      boolean draining = "true".equals(response.getHeader("Draining"));
      return new AttemptEnd.Rejected("not run by " + server(), draining, retryAfter(response));
    }
    return new AttemptEnd.Failed(server() + " answered HTTP " + response.statusCode());
  }
}
