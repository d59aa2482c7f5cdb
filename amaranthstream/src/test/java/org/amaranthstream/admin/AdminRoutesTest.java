package org.amaranthstream.admin;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AdminRoutesTest {
  private static final String CONFIG = "/v1/admin/config";
  private static final String YAML = "pools:\n  one:\n    kind: PLAIN_SERVICE\n";

  private final AdminServer server = new AdminServer();
  private final HttpClient http = HttpClient.newHttpClient();

  @AfterEach
  void stop() {
    server.close();
  }

  private HttpRequest.Builder request(String path, String token) {
    return HttpRequest.newBuilder(URI.create(server.url() + path))
        .header("Authorization", "Bearer " + token);
  }

  private HttpResponse<String> send(HttpRequest.Builder builder)
      throws IOException, InterruptedException {
    return http.send(builder.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return send(request(path, AdminServer.OPERATOR));
  }

  private HttpResponse<String> put(String generation, String yaml)
      throws IOException, InterruptedException {
    return send(
        request(CONFIG, AdminServer.OPERATOR)
            .header("If-Match", generation)
            .PUT(HttpRequest.BodyPublishers.ofString(yaml)));
  }

  @Nested
  class Tokens {
    @ParameterizedTest
    @ValueSource(strings = {"config", "config/history", "explain", "dump", "status", "other"})
    void areRequiredOnEveryPath(String path) throws IOException, InterruptedException {
      assertThat(send(request("/v1/admin/" + path, "guess")).statusCode()).isEqualTo(401);
      assertThat(send(request("/v1/admin/" + path, AdminServer.CALLER)).statusCode())
          .isEqualTo(403);
    }

    @Test
    void areCheckedBeforeConfigurationChanges() throws IOException, InterruptedException {
      HttpRequest.Builder change =
          request(CONFIG, AdminServer.CALLER)
              .header("If-Match", "0")
              .PUT(HttpRequest.BodyPublishers.ofString(YAML));
      assertThat(send(change).statusCode()).isEqualTo(403);
      assertThat(get(CONFIG).headers().firstValue("ETag")).hasValue("\"0\"");
    }
  }

  @Nested
  class Config {
    @Test
    void isReplacedAndRead() throws IOException, InterruptedException {
      HttpResponse<String> accepted = put("\"0\"", YAML);
      assertThat(accepted.statusCode()).isEqualTo(200);
      assertThat(accepted.headers().firstValue("ETag")).hasValue("\"1\"");
      assertThat(get(CONFIG).body()).isEqualTo(YAML);
      assertThat(get(CONFIG + "/history").body()).contains("\"operator\" : \"OPERATOR\"");
    }

    @Test
    void reportsCurrentGenerationOnConflict() throws IOException, InterruptedException {
      assertThat(put("0", YAML).statusCode()).isEqualTo(200);
      HttpResponse<String> conflict = put("0", YAML);
      assertThat(conflict.statusCode()).isEqualTo(409);
      assertThat(conflict.body()).contains("the configuration is at generation 1");
    }

    @Test
    void isUnchangedAfterInvalidRequest() throws IOException, InterruptedException {
      HttpResponse<String> invalid = put("0", "pools: 1\n");
      assertThat(invalid.statusCode()).isEqualTo(422);
      assertThat(invalid.body()).contains("config:1: key pools: found whole number 1, expected");
      assertThat(put("now", YAML).statusCode()).isEqualTo(400);
      assertThat(get(CONFIG).body()).isEmpty();
    }

    @Test
    void rejectsBodiesThatAreTooLarge() throws IOException, InterruptedException {
      assertThat(put("0", "#".repeat(1_000_001)).statusCode()).isEqualTo(413);
    }
  }

  @Nested
  class Explain {
    @Test
    void returnsSentencesOrErrorStatus() throws IOException, InterruptedException {
      assertThat(get("/v1/admin/explain?id=a-1/9f/1").body()).contains("After 0 ms: admitted.");
      assertThat(get("/v1/admin/explain?id=a-1/9f/2").statusCode()).isEqualTo(410);
      assertThat(get("/v1/admin/explain?id=x").statusCode()).isEqualTo(400);
      assertThat(get("/v1/admin/explain").statusCode()).isEqualTo(400);
    }
  }

  @Nested
  class State {
    @Test
    void isDumpedWithErrorInPlaceOfFailedPart() throws IOException, InterruptedException {
      String dump = get("/v1/admin/dump").body();
      assertThat(dump).contains("\"source\" : \"NONE\"");
      assertThat(dump).contains("\"a\" : 1");
      assertThat(dump).contains("no state");
    }

    @Test
    void showsIdsAndDurationsAsTextAndHidesSecrets() throws IOException, InterruptedException {
      String status = get("/v1/admin/status").body();
      assertThat(status).contains("\"vm\" : \"a-1\"");
      assertThat(status).contains("\"uptime\" : \"PT1S\"");
      assertThat(status).doesNotContain("hidden");
    }
  }
}
