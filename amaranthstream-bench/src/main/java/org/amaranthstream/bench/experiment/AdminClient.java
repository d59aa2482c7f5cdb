package org.amaranthstream.bench.experiment;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;

/** Client of the admin interface of one daemon. */
final class AdminClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);
  private static final int MAX_RETRIES = 50;

  private final String daemonUrl;

  AdminClient(String daemonUrl) {
    this.daemonUrl = daemonUrl;
  }

  /**
   * Writes the first configuration. Retries while the daemon responds with a 5xx status, because it
   * may not be ready yet.
   *
   * @throws IOException if the daemon rejects the configuration or cannot be reached
   */
  void putConfig(String yaml) throws IOException {
    try (BlockingHttpClient http =
        new BlockingHttpClient(Optional.of(ClusterFiles.OPERATOR_TOKEN))) {
      HttpResponse response = put(http, yaml);
      for (int i = 0; i < MAX_RETRIES && response.status() >= 500; i++) {
        http.pause(RETRY_INTERVAL);
        response = put(http, yaml);
      }
      if (!response.isSuccess()) {
        throw new IOException("daemon rejected the first configuration: " + response.body());
      }
    }
  }

  private HttpResponse put(BlockingHttpClient http, String yaml) throws IOException {
    Map<String, String> headers = Map.of("If-Match", "0", "Content-Type", "application/yaml");
    return http.call(HttpMethod.PUT, daemonUrl + "/v1/admin/config", yaml, TIMEOUT, headers);
  }
}
