package org.amaranthstream.standins.service;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.util.List;
import org.amaranthstream.standins.server.FaultSwitches;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.Role;
import org.amaranthstream.standins.server.RunLedger;
import org.amaranthstream.standins.server.StandinServer;

/** A service that scores samples: a function of the text between 0 and 1. */
final class ScorerRole implements Role {
  private static final int SCORE_STEPS = 1000;

  private final FaultSwitches switches = new FaultSwitches();
  private final RunLedger ledger = new RunLedger();
  private StandinServer server;

  @Override
  public String name() {
    return "scorer";
  }

  @Override
  public FaultSwitches switches() {
    return switches;
  }

  @Override
  public RunLedger ledger() {
    return ledger;
  }

  @Override
  public void addRoutes(Router router, StandinServer standin) {
    server = standin;
    router.post("/v1/score").handler(this::score);
  }

  @Override
  public void reset() {}

  private void score(RoutingContext ctx) {
    try {
      ScoreRequest request = Json.read(ctx.body().buffer(), ScoreRequest.class);
      ledger.count("samples", request.samples().size());
      server.send(ctx, 200, new Scores(request.samples().stream().map(Score::of).toList()));
    } catch (IOException e) {
      ctx.response().setStatusCode(400).end();
    }
  }

  record ScoreRequest(List<Sample> samples) {}

  record Sample(long slot, String text) {}

  record Scores(List<Score> scores) {}

  record Score(long slot, double score) {
    static Score of(Sample sample) {
      int step = Math.floorMod(sample.text().hashCode(), SCORE_STEPS);
      return new Score(sample.slot(), (double) step / SCORE_STEPS);
    }
  }
}
