package org.amaranthstream.standins.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.amaranthstream.standins.TestHttpClient;
import org.amaranthstream.standins.server.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EngineStandinTest {
  private static final String PROMPT = "steel bolts";

  /** Leaves time to inject a fault before the response. */
  private static final long RESPONSE_DELAY_MILLIS = 1_000;

  private final EngineStandin engine =
      EngineStandin.builder().slots(2).tokenIntervalMs(1).prefillMs(4).swapMs(1).start();
  private final TestHttpClient http = new TestHttpClient();

  @AfterEach
  void close() {
    http.close();
    engine.close();
  }

  @Nested
  final class Responses {
    @Test
    void areCompleteAndCarryTheirVersion() throws IOException {
      String response = generate("a1", 1, 32, "").body().toString();
      String key = GeneratedText.key(PROMPT, 1);
      int length = GeneratedText.length(key, 32);
      assertThat(response).contains("\"text\":\"" + GeneratedText.tokens(key, 0, 1).trim());
      assertThat(response).contains("\"version\":1");
      assertThat(response).contains("{\"attempt\":\"a1\",\"end\":true,\"tokens\":" + length);
    }

    @Test
    void resumeAtTheGivenOffset() throws IOException {
      String key = GeneratedText.key(PROMPT, 1);
      String resume = "\"resumeOffset\":2,\"resumeText\":\"%s\"";
      String given = GeneratedText.tokens(key, 0, 2);
      HttpResponse response = generate("a2", 1, 32, resume.formatted(given));
      assertThat(response.body().toString()).contains("\"offset\":2");
      HttpResponse wrong = generate("a3", 1, 32, resume.formatted("other text "));
      assertThat(wrong.status()).isEqualTo(400);
    }

    @Test
    void carryTheNewVersionAfterAnOrder() throws IOException {
      assertThat(order(5, 10).status()).isEqualTo(200);
      assertThat(generate("a1", 1, 8, "").body().toString()).contains("\"version\":5");
      assertThat(order(4, 9).status()).isEqualTo(409);
    }

    @Test
    void containTheInjectedFaults() throws IOException {
      engine.control("{\"truncateNext\": 1}");
      assertThat(generate("a1", 1, 32, "").body().toString()).doesNotContain("\"end\":true");
      engine.control("{\"wrongEchoNext\": 1}");
      assertThat(generate("a2", 1, 32, "").body().toString()).doesNotContain("\"attempt\":\"a2\"");
      engine.control("{\"omitVersionNext\": 1}");
      assertThat(generate("a3", 1, 32, "").body().toString()).doesNotContain("version");
    }
  }

  @Nested
  final class Faults {
    @Test
    void drainRejectsNewRequestsAsNotRun() throws IOException {
      engine.control("{\"drain\": true}");
      HttpResponse response = generate("a1", 1, 8, "");
      assertThat(response.status()).isEqualTo(503);
      assertThat(response.body().toString()).contains("\"notRun\":true,\"draining\":true");
      assertThat(engine.ledgerText()).doesNotContain("a1");
    }

    @Test
    void poisonCrashesTheEngineWhichRestartsWithNewIncarnation() throws IOException {
      String before = http.get(engine.url() + "/v1/load").body().toString();
      engine.control("{\"poisonMarker\": \"bolts\", \"restartAfterMs\": 1}");
      assertThrows(IOException.class, () -> generate("a1", 1, 8, ""));
      String after = pollUntilResponse();
      assertThat(after).isNotEqualTo(before);
      assertThat(engine.ledgerText()).contains("CRASHED");
    }

    /** The delayed call may arrive before or after the freeze. */
    @Test
    void freezeSilencesOnlyOpenConnections() throws IOException {
      CompletableFuture<HttpResponse> pending = slowCall();
      engine.control("{\"slowMs\": 0, \"freeze\": true}");
      try (TestHttpClient newClient = new TestHttpClient()) {
        assertThat(newClient.get(engine.url() + "/v1/load").status()).isEqualTo(200);
      }
      assertThrows(
          TimeoutException.class,
          () -> pending.get(2 * RESPONSE_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }

    private CompletableFuture<HttpResponse> slowCall() throws IOException {
      http.get(engine.url() + "/v1/load");
      engine.control("{\"slowMs\": " + RESPONSE_DELAY_MILLIS + "}");
      return http.callAsync(HttpMethod.GET, engine.url() + "/v1/load", "");
    }

    private String pollUntilResponse() {
      while (true) {
        try {
          return http.get(engine.url() + "/v1/load").body().toString();
        } catch (IOException e) {
          assertThat(e).isNotNull();
        }
      }
    }
  }

  @Nested
  final class Cancel {
    @Test
    void endsTheResponseWithoutAnEndMarker() throws IOException {
      engine.control("{\"stall\": true}");
      CompletableFuture<HttpResponse> response =
          http.callAsync(HttpMethod.POST, engine.url() + "/v1/generate", body("a1", 1, 64, ""));
      String cancelled = "{\"cancelled\":0}";
      while (cancelled.contains(":0")) {
        cancelled =
            http.post(engine.url() + "/v1/cancel", "{\"attempt\":\"a1\"}").body().toString();
      }
      assertThat(response.join().body().toString()).doesNotContain("\"end\":true");
      assertThat(engine.ledgerText()).contains("CANCELLED");
    }
  }

  private HttpResponse generate(String attempt, long seed, int maxTokens, String more)
      throws IOException {
    return http.post(engine.url() + "/v1/generate", body(attempt, seed, maxTokens, more));
  }

  private static String body(String attempt, long seed, int maxTokens, String more) {
    String rest = more.isEmpty() ? "" : "," + more;
    return "{\"attempt\":\"%s\",\"prompt\":\"%s\",\"seed\":%d,\"maxTokens\":%d%s}"
        .formatted(attempt, PROMPT, seed, maxTokens, rest);
  }

  private HttpResponse order(long version, long fencing) throws IOException {
    return http.post(
        engine.url() + "/v1/orders",
        "{\"type\":\"LOAD_VERSION\",\"model\":\"coder\",\"version\":%d,\"fencing\":%d}"
            .formatted(version, fencing));
  }
}
