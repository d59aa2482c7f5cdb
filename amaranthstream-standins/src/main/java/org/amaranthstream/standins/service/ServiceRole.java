package org.amaranthstream.standins.service;

import com.google.common.hash.Hashing;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.UUID;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.Role;
import org.amaranthstream.standins.server.Run;
import org.amaranthstream.standins.server.RunState;

/**
 * Role of a plain service, whose ledger records a run for each call under the digest of its body.
 */
final class ServiceRole extends Role<ServiceSwitches> {
  private final ServiceStandin.Builder options;
  private final Deque<RoutingContext> queued = new ArrayDeque<>();
  private String incarnation = newIncarnation();
  private int running;

  ServiceRole(ServiceStandin.Builder options) {
    super("service", new ServiceSwitches());
    this.options = options;
  }

  @Override
  protected void addRoutes(Router router) {
    router.post("/v1/call").handler(this::call);
    router.get("/v1/load").handler(ctx -> server().send(ctx, 200, load()));
  }

  @Override
  protected void reset() {
    queued.clear();
    running = 0;
    incarnation = newIncarnation();
  }

  private void call(RoutingContext ctx) {
    boolean full = running >= options.slots && queued.size() >= options.queue;
    if (switches().drain || full) {
      ledger().count("refused_not_run", 1);
      ctx.response().setStatusCode(503).putHeader("Not-Run", "true").end();
      return;
    }
    queued.addLast(ctx);
    startQueued();
  }

  private void startQueued() {
    while (running < options.slots && !queued.isEmpty()) {
      start(queued.removeFirst());
    }
  }

  private void start(RoutingContext ctx) {
    running++;
    String body = body(ctx).toString(StandardCharsets.UTF_8);
    Run run = ledger().start(attempt(ctx), digest(body), incarnation);
    String marker = switches().poisonMarker;
    if (marker != null && body.contains(marker)) {
      server().vertx().runOnContext(ignored -> server().crash());
    }
    String startedIn = incarnation;
    long ms = Math.round(options.serviceMs * switches().slowFactor);
    server().vertx().setTimer(Math.max(1, ms), id -> finish(ctx, run, startedIn));
  }

  private void finish(RoutingContext ctx, Run run, String startedIn) {
    if (!startedIn.equals(incarnation)) {
      return;
    }
    running--;
    run.end(RunState.FINISHED);
    respond(ctx);
    startQueued();
  }

  private void respond(RoutingContext ctx) {
    HttpServerResponse response = ctx.response();
    if (server().isSilent(ctx.request().connection()) || response.closed()) {
      return;
    }
    if (switches().loseAnswers > 0) {
      switches().loseAnswers--;
      ctx.request().connection().close();
    } else if (switches().failNext > 0) {
      switches().failNext--;
      response.setStatusCode(500).end();
    } else {
      sendResponse(ctx, response);
    }
  }

  private void sendResponse(RoutingContext ctx, HttpServerResponse response) {
    String digest = digest(body(ctx).toString(StandardCharsets.UTF_8));
    Buffer content = Buffer.buffer(Json.text(new CallResponse(digest)));
    response.putHeader("Attempt", echoedAttempt(ctx)).putHeader("Content-Type", "application/json");
    if (switches().truncateNext > 0) {
      switches().truncateNext--;
      response.putHeader("Content-Length", Integer.toString(content.length() * 2));
      response.write(content).onComplete(written -> ctx.request().connection().close());
    } else {
      response.end(content);
    }
  }

  private String echoedAttempt(RoutingContext ctx) {
    if (switches().wrongEchoNext > 0) {
      switches().wrongEchoNext--;
      return "other-attempt";
    }
    return attempt(ctx);
  }

  private ServiceLoad load() {
    return new ServiceLoad(incarnation, running, queued.size(), options.slots, switches().drain, 0);
  }

  private static Buffer body(RoutingContext ctx) {
    Buffer body = ctx.body().buffer();
    return body == null ? Buffer.buffer() : body;
  }

  private static String attempt(RoutingContext ctx) {
    return String.valueOf(ctx.request().getHeader("Attempt"));
  }

  /** Returns the first 16 hexadecimal digits of the SHA-256 of a body. */
  static String digest(String body) {
    return Hashing.sha256().hashString(body, StandardCharsets.UTF_8).toString().substring(0, 16);
  }

  private static String newIncarnation() {
    return UUID.randomUUID().toString();
  }

  record CallResponse(String served) {}

  record ServiceLoad(
      String incarnation, int running, int queued, int slots, boolean draining, long ageMs) {}
}
