package org.amaranthstream.bench.experiment;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;

/** Calls of an operator to one daemon. */
final class AdminClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration PAUSE = Duration.ofMillis(200);
  private static final int TRIES = 50;

  private final String daemon;

  AdminClient(String daemon) {
    this.daemon = daemon;
  }

  /** Puts the first configuration; tries again while the daemon is not yet able to. */
  void putConfig(String yaml) throws IOException {
    try (BlockingHttpClient http =
        new BlockingHttpClient(Optional.of(ClusterFiles.OPERATOR_TOKEN))) {
      HttpResponse reply = put(http, yaml);
      for (int i = 0; i < TRIES && reply.status() >= 500; i++) {
        http.pause(PAUSE);
        reply = put(http, yaml);
      }
      if (!reply.isSuccess()) {
        throw new IOException("configuration refused: " + reply.body());
      }
    }
  }

  private HttpResponse put(BlockingHttpClient http, String yaml) throws IOException {
    Map<String, String> headers = Map.of("If-Match", "0", "Content-Type", "application/yaml");
    return http.call(HttpMethod.PUT, daemon + "/v1/admin/config", yaml, TIMEOUT, headers);
  }
}
