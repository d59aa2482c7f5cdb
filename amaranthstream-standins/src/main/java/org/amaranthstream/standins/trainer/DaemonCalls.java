package org.amaranthstream.standins.trainer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;
import org.amaranthstream.standins.server.Json;

/** A trainer's calls to the daemons; a failed call goes to the next daemon. One thread. */
final class DaemonCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_PAUSE = Duration.ofMillis(50);
  private static final int NOT_FOUND = 404;

  private final TrainerOptions options;
  private final BlockingHttpClient http;
  private int current;
  private long errors;

  DaemonCalls(TrainerOptions options, BlockingHttpClient http) {
    this.options = options;
    this.http = http;
  }

  long errors() {
    return errors;
  }

  /** Submits a step; empty if the daemon did not accept it. */
  Optional<StepAccepted> submit(long step, StepBody body) {
    return call(HttpMethod.PUT, stepPath(step), body, Duration.ofSeconds(5))
        .flatMap(reply -> parse(reply, StepAccepted.class));
  }

  /** Pulls; a page, or an unknown step, or nothing if the call failed. */
  PullOutcome pull(long step, PullBody body) {
    Duration timeout = Duration.ofMillis(body.waitMs()).plusSeconds(3);
    Optional<HttpResponse> reply = call(HttpMethod.POST, stepPath(step) + "/pull", body, timeout);
    if (reply.isPresent() && reply.get().status() == NOT_FOUND) {
      return new PullOutcome(true, Optional.empty());
    }
    return new PullOutcome(false, reply.flatMap(r -> parse(r, PullPage.class)));
  }

  /** Announces a version; true once a daemon accepted it. */
  boolean publish(long version) {
    String path = "/v1/models/" + options.model() + "/versions";
    return call(HttpMethod.POST, path, new Announcement(version), Duration.ofSeconds(5))
        .filter(HttpResponse::isSuccess)
        .isPresent();
  }

  private Optional<HttpResponse> call(
      HttpMethod method, String path, Object body, Duration timeout) {
    String url = options.daemons().get(current) + path;
    try {
      HttpResponse reply = http.call(method, url, Json.text(body), timeout);
      if (!reply.isSuccess() && reply.status() != NOT_FOUND) {
        fail(url, "status " + reply.status() + " " + reply.body());
      }
      return Optional.of(reply);
    } catch (IOException e) {
      fail(url, String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }

  private void fail(String url, String reason) {
    errors++;
    current = (current + 1) % options.daemons().size();
    logger.atInfo().log("event=call_failed url=%s reason=\"%s\"", url, reason);
    http.pause(RETRY_PAUSE);
  }

  private static <T> Optional<T> parse(HttpResponse reply, Class<T> type) {
    if (!reply.isSuccess()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Json.read(reply.body(), type));
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("event=answer_unreadable type=%s", type.getSimpleName());
      return Optional.empty();
    }
  }

  private String stepPath(long step) {
    return "/v1/trainers/" + options.trainer() + "/steps/" + step;
  }

  record PullOutcome(boolean unknownStep, Optional<PullPage> page) {}

  record Announcement(long version) {}
}
