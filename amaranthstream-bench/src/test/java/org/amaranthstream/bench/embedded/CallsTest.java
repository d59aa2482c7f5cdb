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
  class WholeAnswers {
    @Test
    void eachCallerGetsTheAnswerToItsOwnRequest() {
      List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        calls.add(fleet.client(i % 2).lookupLater("own answer " + i, 12));
      }
      for (int i = 0; i < 40; i++) {
        JsonNode answer = FleetClient.json(calls.get(i).join());
        JsonNode again = FleetClient.json(fleet.client(0).lookup("own answer " + i, 12));
        assertThat(answer.path("text").asText()).isEqualTo(again.path("text").asText());
      }
    }

    @Test
    void answersNameTheirWeightVersions() {
      JsonNode answer = FleetClient.json(fleet.client(0).lookup("version", 6));
      long named = 0;
      for (JsonNode segment : answer.path("segments")) {
        assertThat(segment.path("version").isNumber()).isTrue();
        named += segment.path("tokens").asLong();
      }
      assertThat(named).isEqualTo(answer.path("tokens").asLong());
    }
  }

  @Nested
  class AtMostOnce {
    @Test
    void resendOnAnotherEntryVmDoesNotRunAgain() {
      String key = Keys.next();
      HttpResponse<String> first = fleet.client(0).quote(key, "resent elsewhere");
      HttpResponse<String> second = fleet.client(1).quote(key, "resent elsewhere");
      assertThat(first.statusCode()).isEqualTo(200);
      assertThat(second.statusCode()).isAnyOf(200, 409);
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("resent elsewhere")))
          .isEqualTo(1);
    }

    @Test
    void resendOnTheSameEntryVmGetsTheFirstAnswer() {
      String key = Keys.next();
      HttpResponse<String> first = fleet.client(0).quote(key, "resent here");
      HttpResponse<String> second = fleet.client(0).quote(key, "resent here");
      assertThat(second.body()).isEqualTo(first.body());
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("resent here"))).isEqualTo(1);
    }

    @Test
    void simultaneousResendsRunOnce() {
      String key = Keys.next();
      List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        calls.add(fleet.client(i % 2).quoteLater(key, "all at once"));
      }
      calls.forEach(CompletableFuture::join);
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("all at once"))).isEqualTo(1);
    }

    @Test
    void lostAnswerIsNeverRetried() {
      fleet.service.control("{\"loseAnswers\": 1}");
      String key = Keys.next();
      HttpResponse<String> lost = fleet.client(0).quote(key, "lost answer");
      HttpResponse<String> again = fleet.client(1).quote(key, "lost answer");
      assertThat(FleetClient.json(lost).path("name").asText()).startsWith("OUTCOME_UNKNOWN");
      assertThat(again.statusCode()).isNotEqualTo(200);
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("lost answer"))).isEqualTo(1);
    }

    @Test
    void keyOlderThanTheRetentionIsRefusedAsNotRun() {
      String key = Keys.at(System.currentTimeMillis() - 10L * 24 * 3600 * 1000);
      HttpResponse<String> refused = fleet.client(0).quote(key, "too old a key");
      assertThat(FleetClient.json(refused).path("name").asText()).isEqualTo("NOT_RUN_KEY_EXPIRED");
      assertThat(FleetLedger.runs(fleet.service, ServiceStandin.keyOf("too old a key")))
          .isEqualTo(0);
    }
  }

  @Nested
  class WhileTheKeyValueServiceIsAway {
    @Test
    void issuedKeysRunOnceAndOthersAreRefusedAsNotRun() {
      String issued = fleet.client(0).issueKey();
      fleet.kv.control("{\"outage\": true}");
      try {
        HttpResponse<String> own = fleet.client(0).quote(issued, "issued key");
        HttpResponse<String> again = fleet.client(0).quote(issued, "issued key");
        HttpResponse<String> foreign = fleet.client(1).quote(issued, "issued key");
        HttpResponse<String> other = fleet.client(0).quote(Keys.next(), "other key");
        assertThat(own.statusCode()).isEqualTo(200);
        assertThat(again.body()).isEqualTo(own.body());
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
    void getsNoNewWorkOnceTheListHasBeenRead() {
      fleet.announceLeaving("e1");
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
    void callsWithoutValidTokenAreRefusedBeforeTheirBodyIsRead() {
      HttpResponse<String> response =
          fleet.client(0).send("POST", "/v1/classes/lookup/calls", "guess", "{}");
      assertThat(response.statusCode()).isEqualTo(401);
    }

    @Test
    void callersMayNotPullSamplesOrAdminister() {
      String caller = EmbeddedFleet.CALLER;
      assertThat(fleet.client(0).send("PUT", "/v1/trainers/t/steps/1", caller, "{}").statusCode())
          .isEqualTo(403);
      assertThat(fleet.client(0).send("GET", "/v1/admin/config", caller, "").statusCode())
          .isEqualTo(403);
    }

    @Test
    void oversizedBodiesAreRefused() {
      String body = "{\"prompt\": \"" + "x".repeat(2_000_000) + "\"}";
      HttpResponse<String> response =
          fleet.client(0).send("POST", "/v1/classes/lookup/calls", EmbeddedFleet.CALLER, body);
      assertThat(response.statusCode()).isEqualTo(413);
    }

    @Test
    void garbageIsOneErrorThatNamesWhatWasExpected() {
      HttpResponse<String> response =
          fleet.client(0).send("POST", "/v1/classes/lookup/calls", EmbeddedFleet.CALLER, "[1");
      assertThat(response.statusCode()).isEqualTo(400);
      assertThat(FleetClient.json(response).path("code").asInt()).isEqualTo(402);
    }
  }
}
