package org.amaranthstream.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.StandinServer;

/** Lines of one streamed answer, with the faults that hit this answer. */
final class AnswerStream {
  private final StandinServer server;
  private final RoutingContext ctx;
  private final boolean truncated;
  private final boolean wrongEcho;
  private final boolean versionOmitted;
  private final boolean duplicated;
  private final boolean late;
  private final boolean failed;
  private long lines;

  AnswerStream(StandinServer server, RoutingContext ctx, EngineSwitches switches) {
    this.server = server;
    this.ctx = ctx;
    this.truncated = switches.truncateNext-- > 0;
    this.wrongEcho = switches.wrongEchoNext-- > 0;
    this.versionOmitted = switches.omitVersionNext-- > 0;
    this.duplicated = switches.duplicateNext-- > 0;
    this.late = switches.lateNext-- > 0;
    this.failed = switches.failNext-- > 0;
    switches.truncateNext = Math.max(0, switches.truncateNext);
    switches.wrongEchoNext = Math.max(0, switches.wrongEchoNext);
    switches.omitVersionNext = Math.max(0, switches.omitVersionNext);
    switches.duplicateNext = Math.max(0, switches.duplicateNext);
    switches.lateNext = Math.max(0, switches.lateNext);
    switches.failNext = Math.max(0, switches.failNext);
  }

  boolean isOpen() {
    return !ctx.response().closed();
  }

  /** Sends tokens; false once the answer is cut off. */
  boolean send(Sequence sequence, int tokens, long version, String incarnation) {
    if (failed) {
      server.send(ctx, 500, new Refusal(false, false, "failed while running"));
      return false;
    }
    if (truncated && sequence.position * 2 > sequence.length) {
      cutOff();
      return false;
    }
    if (late && lines == 0) {
      write(new ChunkLine("late-attempt", 0, 1, "late ", version, incarnation));
    }
    ChunkLine line =
        new ChunkLine(
            echo(sequence),
            sequence.position,
            tokens,
            GeneratedText.tokens(sequence.key, sequence.position, tokens),
            versionOmitted ? null : version,
            incarnation);
    write(line);
    if (duplicated) {
      write(line);
    }
    return true;
  }

  void end(Sequence sequence) {
    if (truncated) {
      cutOff();
      return;
    }
    write(new EndLine(echo(sequence), true, sequence.length, finishReason(sequence)));
    if (!isSilent()) {
      ctx.response().end();
    }
  }

  /** Ends a cancelled answer without its end marker. */
  void cutOff() {
    if (!isSilent() && isOpen() && !ctx.response().ended()) {
      beginStream();
      ctx.response().end();
    }
  }

  private void write(Object line) {
    lines++;
    if (!isSilent() && isOpen()) {
      beginStream();
      ctx.response().write(Json.text(line) + "\n");
    }
  }

  private void beginStream() {
    HttpServerResponse response = ctx.response();
    if (!response.headWritten()) {
      response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
    }
  }

  private boolean isSilent() {
    return server.isSilent(ctx.request().connection());
  }

  private String echo(Sequence sequence) {
    return wrongEcho ? "other-attempt" : sequence.attempt();
  }

  private static String finishReason(Sequence sequence) {
    return sequence.length == sequence.request.maxTokens() ? "length" : "stop";
  }
}
