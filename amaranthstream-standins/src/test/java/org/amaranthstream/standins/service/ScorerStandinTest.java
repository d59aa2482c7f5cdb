package org.amaranthstream.standins.service;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.amaranthstream.standins.TestHttpClient;
import org.junit.jupiter.api.Test;

final class ScorerStandinTest {

  @Test
  void scoresEachSampleByItsText() throws IOException {
    try (ScorerStandin scorer = ScorerStandin.builder().start();
        TestHttpClient http = new TestHttpClient()) {
      String body = "{\"samples\":[{\"slot\":3,\"text\":\"a\"},{\"slot\":4,\"text\":\"b\"}]}";
      String scores = http.post(scorer.url() + "/v1/score", body).body().toString();
      assertThat(scores)
          .isEqualTo("{\"scores\":[{\"slot\":3,\"score\":0.097},{\"slot\":4,\"score\":0.098}]}");
    }
  }
}
