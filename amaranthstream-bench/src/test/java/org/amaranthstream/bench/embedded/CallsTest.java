package org.amaranthstream.bench.embedded;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.bench.Polling;
import org.amaranthstream.standins.service.ServiceStandin;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallsTest {
  private static EmbeddedFleet fleet;

  @BeforeAll
  static void startFleet() {
    fleet = EmbeddedFleet.start(2, 2);
  }

  @AfterAll
  static void closeFleet() {
    fleet.close();
  }

  @Nested
  class Responses {
    @Test
    void eachCallReceivesTheResponseToItsOwnRequest() {
      List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        calls.add(fleet.client(i % 2).lookupAsync("own answer " + i, 12));
      }
      for (int i = 0; i < 40; i++) {
        JsonNode response = FleetClient.json(calls.get(i).join());
        JsonNode repeated = FleetClient.json(fleet.client(0).lookup("own answer " + i, 12));
        assertThat(response.path("text").asText()).isEqualTo(repeated.path("text").asText());
      }
    }

    @Test
    void responsesStateTheirWeightVersions() {
      JsonNode response = FleetClient.json(fleet.client(0).lookup("version", 6));
      long versionedTokens = 0;
      for (JsonNode segment : response.path("segments")) {
        assertThat(segment.path("version").isNumber()).isTrue();
        versionedTokens += segment.path("tokens").asLong();
      }
      assertThat(versionedTokens).isEqualTo(response.path("tokens").asLong());
    }
  }

  @Nested
  class AtMostOnce {
    @Test
    void resendOnAnotherEntryVmDoesNotRunAgain() {
      String key = IdempotencyKeys.next();
      HttpResponse<String> first = fleet.client(0).quote(key, "resent elsewhere");
      HttpResponse<String> second = fleet.client(1).quote(key, "resent elsewhere");
      assertThat(first.statusCode()).isEqualTo(200);
      assertThat(second.statusCode()).isAnyOf(200, 409);
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("resent elsewhere")))
          .isEqualTo(1);
    }

    @Test
    void resendOnTheSameEntryVmReturnsTheFirstResponse() {
      String key = IdempotencyKeys.next();
      HttpResponse<String> first = fleet.client(0).quote(key, "resent here");
      HttpResponse<String> second = fleet.client(0).quote(key, "resent here");
      assertThat(second.body()).isEqualTo(first.body());
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("resent here"))).isEqualTo(1);
    }

    @Test
    void simultaneousResendsRunOnce() {
      String key = IdempotencyKeys.next();
      List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        calls.add(fleet.client(i % 2).quoteAsync(key, "all at once"));
      }
      calls.forEach(CompletableFuture::join);
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("all at once"))).isEqualTo(1);
    }

    @Test
    void lostResponseIsNotRetried() {
      fleet.service.control("{\"loseAnswers\": 1}");
      String key = IdempotencyKeys.next();
      HttpResponse<String> lost = fleet.client(0).quote(key, "lost answer");
      HttpResponse<String> repeated = fleet.client(1).quote(key, "lost answer");
      assertThat(FleetClient.json(lost).path("name").asText()).startsWith("OUTCOME_UNKNOWN");
      assertThat(repeated.statusCode()).isNotEqualTo(200);
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("lost answer"))).isEqualTo(1);
    }

    @Test
    void keyOlderThanTheRetentionTimeIsRejectedAsNotRun() {
      String key = IdempotencyKeys.createdAt(System.currentTimeMillis() - 10L * 24 * 3600 * 1000);
      HttpResponse<String> rejected = fleet.client(0).quote(key, "too old a key");
      assertThat(FleetClient.json(rejected).path("name").asText()).isEqualTo("NOT_RUN_KEY_EXPIRED");
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("too old a key")))
          .isEqualTo(0);
    }
  }

  @Nested
  class StoreOutage {
    @Test
    void issuedKeyRunsOnceAndOtherKeysAreRejectedAsNotRun() {
      String issued = fleet.client(0).issueKey();
      fleet.kv.control("{\"outage\": true}");
      try {
        HttpResponse<String> own = fleet.client(0).quote(issued, "issued key");
        HttpResponse<String> repeated = fleet.client(0).quote(issued, "issued key");
        HttpResponse<String> foreign = fleet.client(1).quote(issued, "issued key");
        HttpResponse<String> other = fleet.client(0).quote(IdempotencyKeys.next(), "other key");
        assertThat(own.statusCode()).isEqualTo(200);
        assertThat(repeated.body()).isEqualTo(own.body());
        assertThat(foreign.statusCode()).isNotEqualTo(200);
        assertThat(FleetClient.json(other).path("name").asText())
            .isEqualTo("NOT_RUN_CLAIM_UNAVAILABLE");
        assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("issued key")))
            .isEqualTo(1);
        assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("other key"))).isEqualTo(0);
      } finally {
        fleet.kv.control("{\"outage\": false}");
      }
    }
  }

  @Nested
  class LeavingServer {
    @Test
    void receivesNoRequestsAfterTheVmListIsRead() {
      fleet.markLeaving("e1");
      Polling.until("call that avoids e1", () -> runsOnE1("leaving probe") == 0);
      long before = FleetLedger.runs(fleet.engines.get(1), "");
      for (int i = 0; i < 20; i++) {
        assertThat(fleet.client(i % 2).lookup("after leaving " + i, 2).statusCode()).isEqualTo(200);
      }
      assertThat(FleetLedger.runs(fleet.engines.get(1), "")).isEqualTo(before);
    }

    private long runsOnE1(String prompt) {
      long before = FleetLedger.runs(fleet.engines.get(1), "");
      for (int i = 0; i < 6; i++) {
        fleet.client(i % 2).lookup(prompt + i, 1);
      }
      return FleetLedger.runs(fleet.engines.get(1), "") - before;
    }
  }

  @Nested
  class Access {
    @Test
    void callsWithoutValidTokenAreRejectedBeforeTheirBodyIsRead() {
      HttpResponse<String> response =
          fleet.client(0).send("POST", "/v1/classes/lookup/calls", "guess", "{}");
      assertThat(response.statusCode()).isEqualTo(401);
    }

    @Test
    void callersMayNotPullSamplesOrAdminister() {
      String callerToken = EmbeddedFleet.CALLER_TOKEN;
      assertThat(
              fleet.client(0).send("PUT", "/v1/trainers/t/steps/1", callerToken, "{}").statusCode())
          .isEqualTo(403);
      assertThat(fleet.client(0).send("GET", "/v1/admin/config", callerToken, "").statusCode())
          .isEqualTo(403);
    }

    @Test
    void oversizedBodiesAreRejected() {
      String body = "{\"prompt\": \"" + "x".repeat(2_000_000) + "\"}";
      HttpResponse<String> response =
          fleet
              .client(0)
              .send("POST", "/v1/classes/lookup/calls", EmbeddedFleet.CALLER_TOKEN, body);
      assertThat(response.statusCode()).isEqualTo(413);
    }

    @Test
    void malformedBodyIsRejectedWithOneError() {
      HttpResponse<String> response =
          fleet
              .client(0)
              .send("POST", "/v1/classes/lookup/calls", EmbeddedFleet.CALLER_TOKEN, "[1");
      assertThat(response.statusCode()).isEqualTo(400);
      assertThat(FleetClient.json(response).path("code").asInt()).isEqualTo(402);
    }
  }
}
