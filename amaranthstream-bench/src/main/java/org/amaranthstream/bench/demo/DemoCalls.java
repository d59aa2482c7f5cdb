package org.amaranthstream.bench.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** The HTTP calls that the demo makes to its daemon. Thread safe. */
final class DemoCalls {
  private static final int HTTP_OK = 200;
  private static final int HTTP_CREATED = 201;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client = HttpClient.newHttpClient();
  private final String url;

  DemoCalls(String url) {
    this.url = url;
  }

  /** Puts the operators' configuration in the place of generation 0. */
  void putConfig(String yaml) {
    HttpRequest request =
        request("/v1/admin/config", DemoFleet.OPERATOR_TOKEN)
            .header("If-Match", "0")
            .PUT(BodyPublishers.ofString(yaml))
            .build();
    HttpResponse<String> response = send(request);
    if (response.statusCode() != HTTP_OK) {
      throw new IllegalStateException(
          "configuration refused: " + response.statusCode() + " " + response.body());
    }
  }

  /** Makes one interactive call to the model pool; true if it was answered in time. */
  boolean lookup(int number) {
    String body = "{\"prompt\": \"describe item " + number + "\", \"maxTokens\": 16}";
    HttpRequest request =
        request("/v1/classes/lookup/calls", DemoFleet.CALLER_TOKEN)
            .POST(BodyPublishers.ofString(body))
            .build();
    return send(request).statusCode() == HTTP_OK;
  }

  /** Makes one call that may run at most once to the plain service; true if it was answered. */
  boolean quote(int number) {
    HttpRequest issue =
        request("/v1/request-keys", DemoFleet.CALLER_TOKEN).POST(BodyPublishers.noBody()).build();
    HttpResponse<String> issued = send(issue);
    if (issued.statusCode() != HTTP_CREATED) {
      return false;
    }
    String key = issued.body().replaceAll(".*\"key\"\\s*:\\s*\"([^\"]+)\".*", "$1");
    HttpRequest request =
        request("/v1/classes/quote/calls", DemoFleet.CALLER_TOKEN)
            .header("Idempotency-Key", key)
            .POST(BodyPublishers.ofString("quote " + number))
            .build();
    return send(request).statusCode() == HTTP_OK;
  }

  /** Returns the answer to an operator's question. */
  String admin(String path) {
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
      throw new IllegalStateException("no answer to " + request.uri(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}
