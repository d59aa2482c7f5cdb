package org.amaranthstream.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.StandinServer;

/**
 * Streamed response to one generate request, with the faults injected into it.
 *
 * <p>The constructor consumes one count of each switch that is a number of responses. Confined to
 * the server's event loop.
 */
final class ResponseStream {
  private final StandinServer server;
  private final RoutingContext ctx;
  private final boolean truncate;
  private final boolean wrongAttempt;
  private final boolean omitVersion;
  private final boolean duplicateLines;
  private final boolean lateLine;
  private final boolean fail;
  private long lineCount;

  ResponseStream(StandinServer server, RoutingContext ctx, EngineSwitches switches) {
    this.server = server;
    this.ctx = ctx;
    this.truncate = switches.truncateNext-- > 0;
    this.wrongAttempt = switches.wrongEchoNext-- > 0;
    this.omitVersion = switches.omitVersionNext-- > 0;
    this.duplicateLines = switches.duplicateNext-- > 0;
    this.lateLine = switches.lateNext-- > 0;
    this.fail = switches.failNext-- > 0;
    switches.truncateNext = Math.max(0, switches.truncateNext);
    switches.wrongEchoNext = Math.max(0, switches.wrongEchoNext);
    switches.omitVersionNext = Math.max(0, switches.omitVersionNext);
    switches.duplicateNext = Math.max(0, switches.duplicateNext);
    switches.lateNext = Math.max(0, switches.lateNext);
    switches.failNext = Math.max(0, switches.failNext);
  }

  /** Returns true unless the response is closed. */
  boolean isOpen() {
    return !ctx.response().closed();
  }

  /**
   * Sends a line with the next {@code tokens} tokens of {@code sequence}.
   *
   * @return false if an injected fault ended the response
   */
  boolean send(Sequence sequence, int tokens, long version, String incarnation) {
    if (fail) {
      server.send(ctx, 500, new Rejection(false, false, "injected failure of a running request"));
      return false;
    }
    if (truncate && sequence.position * 2 > sequence.length) {
      endWithoutMarker();
      return false;
    }
    if (lateLine && lineCount == 0) {
      write(new ChunkLine("late-attempt", 0, 1, "late ", version, incarnation));
    }
    ChunkLine line =
        new ChunkLine(
            echoedAttempt(sequence),
            sequence.position,
            tokens,
            GeneratedText.tokens(sequence.key, sequence.position, tokens),
            omitVersion ? null : version,
            incarnation);
    write(line);
    if (duplicateLines) {
      write(line);
    }
    return true;
  }

  /** Ends a complete response with its end marker, unless a fault truncates it. */
  void end(Sequence sequence) {
    if (truncate) {
      endWithoutMarker();
      return;
    }
    write(new EndLine(echoedAttempt(sequence), true, sequence.length, finishReason(sequence)));
    if (!isSilent()) {
      ctx.response().end();
    }
  }

  /** Ends the response without an end marker, if it is still open. */
  void endWithoutMarker() {
    if (!isSilent() && isOpen() && !ctx.response().ended()) {
      writeHeaders();
      ctx.response().end();
    }
  }

  private void write(Object line) {
    lineCount++;
    if (!isSilent() && isOpen()) {
      writeHeaders();
      ctx.response().write(Json.text(line) + "\n");
    }
  }

  private void writeHeaders() {
    HttpServerResponse response = ctx.response();
    if (!response.headWritten()) {
      response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
    }
  }

  private boolean isSilent() {
    return server.isSilent(ctx.request().connection());
  }

  private String echoedAttempt(Sequence sequence) {
    return wrongAttempt ? "other-attempt" : sequence.attempt();
  }

  private static String finishReason(Sequence sequence) {
    return sequence.length == sequence.request.maxTokens() ? "length" : "stop";
  }
}
