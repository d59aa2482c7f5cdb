package org.amaranthstream.standins.trainer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;
import org.amaranthstream.standins.server.Json;

/**
 * Client of a trainer for its daemons. After a failed call it moves on to the next daemon.
 *
 * <p>Not thread safe. Calls block.
 */
final class DaemonClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);
  private static final int NOT_FOUND = 404;

  private final TrainerOptions options;
  private final BlockingHttpClient http;
  private int currentDaemon;
  private long errors;

  DaemonClient(TrainerOptions options, BlockingHttpClient http) {
    this.options = options;
    this.http = http;
  }

  /** Returns the number of failed calls. */
  long errors() {
    return errors;
  }

  /** Submits a step. Returns an empty result if the call failed or the daemon rejected the step. */
  Optional<StepAccepted> submit(long step, StepBody body) {
    return call(HttpMethod.PUT, stepPath(step), body, Duration.ofSeconds(5))
        .flatMap(response -> parse(response, StepAccepted.class));
  }

  /** Pulls samples of a step. The outcome has no page if the call failed or the step is unknown. */
  PullOutcome pull(long step, PullBody body) {
    Duration timeout = Duration.ofMillis(body.waitMs()).plusSeconds(3);
    Optional<HttpResponse> response =
        call(HttpMethod.POST, stepPath(step) + "/pull", body, timeout);
    if (response.isPresent() && response.get().status() == NOT_FOUND) {
      return new PullOutcome(true, Optional.empty());
    }
    return new PullOutcome(false, response.flatMap(r -> parse(r, PullPage.class)));
  }

  /** Announces a weight version. Returns true if the daemon accepted it. */
  boolean publish(long version) {
    String path = "/v1/models/" + options.model() + "/versions";
    return call(HttpMethod.POST, path, new Announcement(version), Duration.ofSeconds(5))
        .filter(HttpResponse::isSuccess)
        .isPresent();
  }

  private Optional<HttpResponse> call(
      HttpMethod method, String path, Object body, Duration timeout) {
    String url = options.daemons().get(currentDaemon) + path;
    try {
      HttpResponse response = http.call(method, url, Json.text(body), timeout);
      if (!response.isSuccess() && response.status() != NOT_FOUND) {
        failOver(url, "status " + response.status() + " " + response.body());
      }
      return Optional.of(response);
    } catch (IOException e) {
      failOver(url, String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }

  /** Counts a failed call, selects the next daemon and pauses before the next call. */
  private void failOver(String url, String reason) {
    errors++;
    currentDaemon = (currentDaemon + 1) % options.daemons().size();
    logger.atInfo().log("event=call_failed url=%s reason=\"%s\"", url, reason);
    http.pause(RETRY_DELAY);
  }

  private static <T> Optional<T> parse(HttpResponse response, Class<T> type) {
    if (!response.isSuccess()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Json.read(response.body(), type));
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("event=answer_unreadable type=%s", type.getSimpleName());
      return Optional.empty();
    }
  }

  private String stepPath(long step) {
    return "/v1/trainers/" + options.trainer() + "/steps/" + step;
  }

  /**
   * Outcome of a pull.
   *
   * @param unknownStep whether the daemon reported the step as unknown
   * @param page the page, if the pull succeeded
   */
  record PullOutcome(boolean unknownStep, Optional<PullPage> page) {}

  record Announcement(long version) {}
}
