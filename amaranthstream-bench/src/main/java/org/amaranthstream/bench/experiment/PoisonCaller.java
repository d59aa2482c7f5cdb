package org.amaranthstream.bench.experiment;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;
import org.amaranthstream.standins.server.Json;

/** Caller that sends the same poison request to each daemon in turn. Confined to one thread. */
final class PoisonCaller implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String PATH = "/v1/classes/" + Workload.LOOKUP_CLASS + "/calls";
  private static final String BODY =
      Json.text(
          new CallSpecs.Lookup(
              "code the product " + FaultInjector.POISON_MARKER, Workload.LOOKUP_MAX_TOKENS));

  private final List<String> daemons;
  private final BlockingHttpClient http =
      new BlockingHttpClient(Optional.of(ClusterFiles.CALLER_TOKEN));
  private int nextDaemon;

  PoisonCaller(List<String> daemons) {
    this.daemons = daemons;
  }

  /** Sends the request to the next daemon and logs the response. */
  void send() {
    String daemon = daemons.get(nextDaemon++ % daemons.size());
    try {
      HttpResponse response = http.call(HttpMethod.POST, daemon + PATH, BODY, TIMEOUT);
      logger.atInfo().log(
          "event=poison_answered status=%d body=%s", response.status(), response.body());
    } catch (IOException e) {
      logger.atInfo().log("event=poison_unanswered reason=\"%s\"", e.getMessage());
    }
  }

  @Override
  public void close() {
    http.close();
  }
}
