package org.amaranthstream.dispatch.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.Optional;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.http.ConnectionUses;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;

/** An attempt that reads the token stream of a model engine, one JSON object per line. */
final class GenerateAttempt extends HttpAttempt {
  private static final int MAX_LINE_BYTES = 64 * 1024;
  private static final int HTTP_OK = 200;
  private static final String STREAM_CONTENT_TYPE = "application/x-ndjson";

  private final GenerateBody body;
  private final Runnable cancelOnServer;
  private long nextOffset;

  GenerateAttempt(
      BackendServerId server,
      AttemptId id,
      GenerateBody body,
      long offset,
      AttemptEventQueue events,
      ConnectionUses connectionUses,
      Runnable cancelOnServer) {
    super(server, id, events, connectionUses);
    this.body = body;
    this.nextOffset = offset;
    this.cancelOnServer = cancelOnServer;
  }

  @Override
  String path() {
    return "/v1/generate";
  }

  @Override
  Buffer prepare(HttpClientRequest request) {
    request.putHeader("Content-Type", "application/json");
    return WireJson.write(body);
  }

  @Override
  void onResult(HttpClientResponse response) {
    RecordParser lines = RecordParser.newDelimited("\n");
    lines.maxRecordSize(MAX_LINE_BYTES);
    lines.exceptionHandler(cause -> endInvalid("stream line not readable: " + cause.getMessage()));
    lines.handler(line -> onLine(response, line));
    response.handler(lines);
    response.endHandler(unused -> onStreamEnd());
  }

  private void onLine(HttpClientResponse response, Buffer line) {
    if (events().isEnded() || line.length() == 0) {
      return;
    }
    try {
      onStreamLine(WireJson.read(line, StreamLine.class));
    } catch (JsonProcessingException e) {
      endInvalid("stream line is not JSON of the protocol: " + e.getOriginalMessage());
    } catch (IOException | IllegalArgumentException e) {
      endInvalid("stream line not readable: " + e.getMessage());
    }
    pauseWhileBlocked(response);
  }

  private void onStreamLine(StreamLine line) {
    if (!id().value().equals(line.attempt())) {
      endInvalid("stream echoes attempt " + line.attempt() + ", expected " + id());
    } else if (line.end()) {
      onEndMarker(line);
    } else if (line.offset() != nextOffset) {
      endInvalid("stream continues at token " + line.offset() + ", expected " + nextOffset);
    } else if (line.tokens() < 0) {
      endInvalid("stream part has " + line.tokens() + " tokens");
    } else {
      nextOffset += line.tokens();
      events().chunk(chunkOf(line));
    }
  }

  private void onEndMarker(StreamLine line) {
    if (line.tokens() != nextOffset) {
      endInvalid("stream ends after token " + nextOffset + " of " + line.tokens());
      return;
    }
    String reason = line.finishReason() == null ? "" : line.finishReason();
    end(
        new AttemptEnd.Finished(
            new CompletedResponse(
                server(), HttpStatus.of(HTTP_OK), STREAM_CONTENT_TYPE, nextOffset, reason)));
  }

  private static Chunk chunkOf(StreamLine line) {
    return new Chunk(
        line.offset(),
        line.tokens(),
        line.text() == null ? "" : line.text(),
        Optional.ofNullable(line.version()).map(WeightVersion::of),
        Optional.ofNullable(line.incarnation()).map(Incarnation::of));
  }

  private void onStreamEnd() {
    if (events().isEnded()) {
      return;
    }
    closeConnection();
    end(new AttemptEnd.Broken("stream of " + server() + " ended without its end marker"));
  }

  @Override
  AttemptEnd errorEnd(HttpClientResponse response, Buffer errorBody) {
    if (isUnavailable(response)) {
      RejectionBody rejection = RejectionBody.parse(errorBody);
      if (rejection.notRun()) {
        return new AttemptEnd.Rejected(
            rejection.reason(), rejection.draining(), retryAfter(response));
      }
    }
    return new AttemptEnd.Failed(server() + " answered HTTP " + response.statusCode());
  }

  @Override
  void afterCancel() {
    cancelOnServer.run();
  }
}
