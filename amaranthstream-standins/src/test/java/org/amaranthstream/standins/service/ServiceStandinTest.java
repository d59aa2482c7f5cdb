package org.amaranthstream.standins.service;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
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
  void rejectsCallsAsNotRunWhileDraining() throws IOException {
    service.control("{\"drain\": true}");
    assertThat(http.post(service.url() + "/v1/call", "order 9").status()).isEqualTo(503);
    assertThat(service.ledgerText()).contains("\"runs\":[]");
  }
}
