package org.amaranthstream.bench.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** HTTP client of the demo for its daemon. Thread safe. */
final class DemoClient {
  private static final int HTTP_OK = 200;
  private static final int HTTP_CREATED = 201;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client = HttpClient.newHttpClient();
  private final String url;

  DemoClient(String url) {
    this.url = url;
  }

  /** Replaces generation 0 of the configuration with {@code yaml}, as an operator. */
  void putConfig(String yaml) {
    HttpRequest request =
        request("/v1/admin/config", DemoFleet.OPERATOR_TOKEN)
            .header("If-Match", "0")
            .PUT(BodyPublishers.ofString(yaml))
            .build();
    HttpResponse<String> response = send(request);
    if (response.statusCode() != HTTP_OK) {
      throw new IllegalStateException(
          "configuration rejected: " + response.statusCode() + " " + response.body());
    }
  }

  /** Sends one interactive call to the model pool and returns true if it was answered in time. */
  boolean lookup(int index) {
    String body = "{\"prompt\": \"describe item " + index + "\", \"maxTokens\": 16}";
    HttpRequest request =
        request("/v1/classes/lookup/calls", DemoFleet.CALLER_TOKEN)
            .POST(BodyPublishers.ofString(body))
            .build();
    return send(request).statusCode() == HTTP_OK;
  }

  /**
   * Sends one call that may run at most once to the plain service, with a key that the daemon
   * issues, and returns true if it was answered in time.
   */
  boolean quote(int index) {
    HttpRequest keyRequest =
        request("/v1/request-keys", DemoFleet.CALLER_TOKEN).POST(BodyPublishers.noBody()).build();
    HttpResponse<String> keyResponse = send(keyRequest);
    if (keyResponse.statusCode() != HTTP_CREATED) {
      return false;
    }
    String key = keyResponse.body().replaceAll(".*\"key\"\\s*:\\s*\"([^\"]+)\".*", "$1");
    HttpRequest request =
        request("/v1/classes/quote/calls", DemoFleet.CALLER_TOKEN)
            .header("Idempotency-Key", key)
            .POST(BodyPublishers.ofString("quote " + index))
            .build();
    return send(request).statusCode() == HTTP_OK;
  }

  /** Sends a GET request as an operator and returns the body of the response. */
  String getAsOperator(String path) {
    return send(request(path, DemoFleet.OPERATOR_TOKEN).GET().build()).body();
  }

  private HttpRequest.Builder request(String path, String token) {
    return HttpRequest.newBuilder(URI.create(url + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + token);
  }

  private HttpResponse<String> send(HttpRequest request) {
    try {
      return client.send(request, BodyHandlers.ofString());
    } catch (IOException e) {
      throw new IllegalStateException("no response to " + request.uri(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}
