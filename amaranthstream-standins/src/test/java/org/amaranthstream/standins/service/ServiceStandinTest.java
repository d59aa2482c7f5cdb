package org.amaranthstream.standins.service;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.amaranthstream.standins.Calls;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ServiceStandinTest {
  private final ServiceStandin service = ServiceStandin.builder().serviceMs(1).start();
  private final Calls calls = new Calls();

  @AfterEach
  void close() {
    calls.close();
    service.close();
  }

  @Test
  void answersWithTheDigestOfTheBodyAndRecordsTheRun() throws IOException {
    String answer = calls.post(service.url() + "/v1/call", "order 7").body().toString();
    String digest = answer.replaceAll(".*:\"|\"}", "");
    assertThat(service.ledgerText()).contains(digest);
  }

  @Test
  void runsCallsWhoseAnswersAreLost() {
    service.control("{\"loseAnswers\": 1}");
    assertThrows(IOException.class, () -> calls.post(service.url() + "/v1/call", "order 8"));
    assertThat(service.ledgerText()).contains("FINISHED");
  }

  @Test
  void refusesAsNotRunWhileDraining() throws IOException {
    service.control("{\"drain\": true}");
    assertThat(calls.post(service.url() + "/v1/call", "order 9").status()).isEqualTo(503);
    assertThat(service.ledgerText()).contains("\"runs\":[]");
  }
}
