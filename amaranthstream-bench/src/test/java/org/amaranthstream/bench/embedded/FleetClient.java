package org.amaranthstream.bench.embedded;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.bench.Polling;

/** HTTP client of callers, trainers and operators for one daemon. Thread safe. */
final class FleetClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final String CONFIG =
      String.join(
          "\n",
          "pools:",
          "  coding: {kind: MODEL_ENGINE, model: coder, checksFencing: true}",
          "  portal: {kind: PLAIN_SERVICE}",
          "classes:",
          "  lookup: {kind: INTERACTIVE, pool: coding, answerDeadline: 30s, stalenessBound: 9,"
              + " idempotent: true, maxTokens: 400}",
          "  quote: {kind: INTERACTIVE, pool: portal, answerDeadline: 30s, idempotent: false}",
          "  practice: {kind: TRAINING, pool: coding, stepDeadline: 7m, stalenessBound: 9,"
              + " weighsMore: IDLE_TIME, maxTokens: 64}",
          "");

  private final HttpClient http = HttpClient.newHttpClient();
  private final String url;

  FleetClient(String url) {
    this.url = url;
  }

  void putConfig() {
    HttpResponse<String> response =
        exchange(
            request("/v1/admin/config", EmbeddedFleet.OPERATOR_TOKEN)
                .header("If-Match", "0")
                .PUT(BodyPublishers.ofString(CONFIG)));
    if (response.statusCode() != 200) {
      throw new IllegalStateException(response.statusCode() + " " + response.body());
    }
  }

  /** Waits until calls to both pools succeed, that is until the daemon has found the servers. */
  void awaitServing() {
    Polling.until("served lookup", () -> lookup("warm up", 1).statusCode() == 200);
    Polling.until(
        "served quote", () -> quote(IdempotencyKeys.next(), "warm up").statusCode() == 200);
  }

  HttpResponse<String> lookup(String prompt, int maxTokens) {
    return lookupAsync(prompt, maxTokens).join();
  }

  CompletableFuture<HttpResponse<String>> lookupAsync(String prompt, int maxTokens) {
    String body = "{\"prompt\": \"" + prompt + "\", \"maxTokens\": " + maxTokens + "}";
    return http.sendAsync(
        request("/v1/classes/lookup/calls", EmbeddedFleet.CALLER_TOKEN)
            .POST(BodyPublishers.ofString(body))
            .build(),
        BodyHandlers.ofString());
  }

  HttpResponse<String> quote(String key, String body) {
    return quoteAsync(key, body).join();
  }

  CompletableFuture<HttpResponse<String>> quoteAsync(String key, String body) {
    return http.sendAsync(
        request("/v1/classes/quote/calls", EmbeddedFleet.CALLER_TOKEN)
            .header("Idempotency-Key", key)
            .POST(BodyPublishers.ofString(body))
            .build(),
        BodyHandlers.ofString());
  }

  /** Returns a new idempotency key that the daemon issues. */
  String issueKey() {
    HttpResponse<String> response =
        exchange(
            request("/v1/request-keys", EmbeddedFleet.CALLER_TOKEN).POST(BodyPublishers.noBody()));
    return json(response).path("key").asText();
  }

  HttpResponse<String> send(String method, String path, String token, String body) {
    return exchange(request(path, token).method(method, BodyPublishers.ofString(body)));
  }

  private HttpRequest.Builder request(String path, String token) {
    return HttpRequest.newBuilder(URI.create(url + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + token);
  }

  private HttpResponse<String> exchange(HttpRequest.Builder request) {
    return http.sendAsync(request.build(), BodyHandlers.ofString())
        .orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
        .join();
  }

  static JsonNode json(HttpResponse<String> response) {
    return json(response.body());
  }

  static JsonNode json(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      throw new IllegalStateException("not JSON: " + text, e);
    }
  }
}
