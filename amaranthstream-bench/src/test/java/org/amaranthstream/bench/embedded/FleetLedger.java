package org.amaranthstream.bench.embedded;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.standins.server.Standin;

/** Queries on the run ledgers of stand-ins. */
final class FleetLedger {
  private FleetLedger() {}

  /** Returns the number of runs whose content contains {@code content}. */
  static long runs(Standin standin, String content) {
    long count = 0;
    for (JsonNode run : FleetClient.json(standin.ledgerText()).path("runs")) {
      if (run.path("key").asText().contains(content)) {
        count++;
      }
    }
    return count;
  }

  /** Returns the states of all runs whose content contains {@code content}. */
  static List<String> states(Standin standin, String content) {
    List<String> states = new ArrayList<>();
    for (JsonNode run : FleetClient.json(standin.ledgerText()).path("runs")) {
      if (run.path("key").asText().contains(content)) {
        states.add(run.path("state").asText());
      }
    }
    return states;
  }
}
