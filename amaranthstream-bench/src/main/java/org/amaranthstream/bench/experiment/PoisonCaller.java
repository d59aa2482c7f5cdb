package org.amaranthstream.bench.experiment;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.standins.server.BlockingHttp;
import org.amaranthstream.standins.server.HttpReply;
import org.amaranthstream.standins.server.Json;

/** A caller that sends one poison request again and again, to each daemon in turn. One thread. */
final class PoisonCaller implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String PATH = "/v1/classes/" + Workload.LOOKUP_CLASS + "/calls";
  private static final String BODY =
      Json.text(
          new CallSpecs.Lookup(
              "code the product " + FaultInjector.POISON_MARKER, Workload.LOOKUP_MAX_TOKENS));

  private final List<String> daemons;
  private final BlockingHttp http = new BlockingHttp(Optional.of(ClusterFiles.CALLER_TOKEN));
  private int next;

  PoisonCaller(List<String> daemons) {
    this.daemons = daemons;
  }

  void send() {
    String daemon = daemons.get(next++ % daemons.size());
    try {
      HttpReply reply = http.call(HttpMethod.POST, daemon + PATH, BODY, TIMEOUT);
      logger.atInfo().log("event=poison_answered status=%d body=%s", reply.status(), reply.body());
    } catch (IOException e) {
      logger.atInfo().log("event=poison_unanswered reason=\"%s\"", e.getMessage());
    }
  }

  @Override
  public void close() {
    http.close();
  }
}
