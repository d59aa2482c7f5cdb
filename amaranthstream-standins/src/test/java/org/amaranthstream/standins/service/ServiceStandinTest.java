package org.amaranthstream.standins.service;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.amaranthstream.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ServiceStandinTest {
  private final ServiceStandin service = ServiceStandin.builder().serviceMs(1).start();
  private final TestHttpClient http = new TestHttpClient();

  @AfterEach
  void close() {
    http.close();
    service.close();
  }

  @Test
  void returnsTheDigestOfTheBodyAndRecordsTheRun() throws IOException {
    String response = http.post(service.url() + "/v1/call", "order 7").body().toString();
    String digest = response.replaceAll(".*:\"|\"}", "");
    assertThat(service.ledgerText()).contains(digest);
  }

  @Test
  void runsCallsWhoseResponsesAreLost() {
    service.control("{\"loseAnswers\": 1}");
    assertThrows(IOException.class, () -> http.post(service.url() + "/v1/call", "order 8"));
    assertThat(service.ledgerText()).contains("FINISHED");
  }

  @Test
  void repeatsTheAttemptOfRejectedCalls() throws IOException, InterruptedException {
    service.control("{\"drain\": true}");
    assertThat(attemptOfResponse("/v1/call")).isEqualTo("a-1");
  }

  @Test
  void repeatsTheAttemptOfFailedCalls() throws IOException, InterruptedException {
    service.control("{\"failNext\": 1}");
    assertThat(attemptOfResponse("/v1/call")).isEqualTo("a-1");
  }

  private String attemptOfResponse(String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(service.url() + path))
            .header("Attempt", "a-1")
            .POST(HttpRequest.BodyPublishers.ofString("order 10"))
            .build();
    return HttpClient.newHttpClient()
        .send(request, HttpResponse.BodyHandlers.ofString())
        .headers()
        .firstValue("Attempt")
        .orElse("");
  }

  @Test
  void rejectsCallsAsNotRunWhileDraining() throws IOException {
    service.control("{\"drain\": true}");
    assertThat(http.post(service.url() + "/v1/call", "order 9").status()).isEqualTo(503);
    assertThat(service.ledgerText()).contains("\"runs\":[]");
  }
}
