package org.amaranthstream.bench.embedded;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.bench.Polling;
import org.amaranthstream.standins.service.ServiceStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ShutdownTest {
  private static final String OK = "";

  private EmbeddedFleet fleet;

  @BeforeEach
  void startFleet() {
    fleet = EmbeddedFleet.start(2, 1);
  }

  @AfterEach
  void closeFleet() {
    fleet.close();
  }

  @Nested
  class Drain {
    @Test
    void cutsOffNoCallInFlight() {
      fleet.service.control("{\"slowFactor\": 40}");
      List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        calls.add(fleet.client(0).lookupLater("in flight " + i, 300));
      }
      String key = Keys.next();
      calls.add(fleet.client(0).quoteLater(key, "quote in flight"));
      Polling.until(
          "running quote",
          () -> FleetLedger.runs(fleet.service, ServiceStandin.keyOf("quote in flight")) == 1);
      fleet.daemons.get(0).drain();
      for (CompletableFuture<HttpResponse<String>> call : calls) {
        assertThat(call.join().statusCode()).isEqualTo(200);
      }
    }

    @Test
    void answersWhatTheBalancerStillSendsOrRefusesItAsNotRun() {
      final CompletableFuture<HttpResponse<String>> slow =
          fleet.client(0).lookupLater("keeps the daemon up", 400);
      Polling.until("running call", () -> runs() > 0);
      CompletableFuture<Void> drained =
          CompletableFuture.runAsync(() -> fleet.daemons.get(0).drain());
      List<String> refusals = new ArrayList<>();
      while (!drained.isDone()) {
        refusals.add(statusOfLateCall());
      }
      drained.join();
      assertThat(slow.join().statusCode()).isEqualTo(200);
      assertThat(refusals).contains("NOT_RUN_SHUTTING_DOWN");
      assertThat(List.of(OK, "NOT_RUN_SHUTTING_DOWN", "closed"))
          .containsAtLeastElementsIn(List.copyOf(new HashSet<>(refusals)));
    }

    private long runs() {
      return fleet.engines.stream().mapToLong(e -> FleetLedger.runs(e, "")).sum();
    }

    private String statusOfLateCall() {
      return fleet
          .client(0)
          .lookupLater("late", 1)
          .handle(
              (response, failure) ->
                  failure != null ? "closed" : FleetClient.json(response).path("name").asText())
          .join();
    }
  }
}
