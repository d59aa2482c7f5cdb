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
  private static final String NO_ERROR = "";

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
    void completesCallsInFlight() {
      fleet.service.control("{\"slowFactor\": 40}");
      List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        calls.add(fleet.client(0).lookupAsync("in flight " + i, 300));
      }
      String key = IdempotencyKeys.next();
      calls.add(fleet.client(0).quoteAsync(key, "quote in flight"));
      Polling.until(
          "running quote",
          () -> FleetLedger.runs(fleet.service, ServiceStandin.keyOf("quote in flight")) == 1);
      fleet.daemons.get(0).drain();
      for (CompletableFuture<HttpResponse<String>> call : calls) {
        assertThat(call.join().statusCode()).isEqualTo(200);
      }
    }

    @Test
    void answersOrRejectsCallsThatTheLoadBalancerStillSends() {
      final CompletableFuture<HttpResponse<String>> slow =
          fleet.client(0).lookupAsync("keeps the daemon up", 400);
      Polling.until("running call", () -> engineRuns() > 0);
      CompletableFuture<Void> drained =
          CompletableFuture.runAsync(() -> fleet.daemons.get(0).drain());
      List<String> outcomes = new ArrayList<>();
      while (!drained.isDone()) {
        outcomes.add(outcomeOfLateCall());
      }
      drained.join();
      assertThat(slow.join().statusCode()).isEqualTo(200);
      assertThat(outcomes).contains("NOT_RUN_SHUTTING_DOWN");
      assertThat(List.of(NO_ERROR, "NOT_RUN_SHUTTING_DOWN", "closed"))
          .containsAtLeastElementsIn(List.copyOf(new HashSet<>(outcomes)));
    }

    private long engineRuns() {
      return fleet.engines.stream().mapToLong(e -> FleetLedger.runs(e, "")).sum();
    }

    private String outcomeOfLateCall() {
      return fleet
          .client(0)
          .lookupAsync("late", 1)
          .handle(
              (response, failure) ->
                  failure != null ? "closed" : FleetClient.json(response).path("name").asText())
          .join();
    }
  }
}
