package org.amaranthstream.standins.service;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.util.List;
import org.amaranthstream.standins.server.FaultSwitches;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.Role;

/** Role of a scorer. The score of a sample is from 0 to 1 and depends only on its text. */
final class ScorerRole extends Role<FaultSwitches> {
  private static final int SCORE_STEPS = 1000;

  ScorerRole() {
    super("scorer", new FaultSwitches());
  }

  @Override
  protected void addRoutes(Router router) {
    router.post("/v1/score").handler(this::score);
  }

  @Override
  protected void reset() {}

  private void score(RoutingContext ctx) {
    try {
      ScoreRequest request = Json.read(ctx.body().buffer(), ScoreRequest.class);
      ledger().count("samples", request.samples().size());
      server().send(ctx, 200, new Scores(request.samples().stream().map(Score::of).toList()));
    } catch (IOException e) {
      ctx.response().setStatusCode(400).end();
    }
  }

  record ScoreRequest(List<Sample> samples) {}

  record Sample(long slot, String text) {}

  record Scores(List<Score> scores) {}

  /** Score of the sample of one slot. */
  record Score(long slot, double score) {
    static Score of(Sample sample) {
      int step = Math.floorMod(sample.text().hashCode(), SCORE_STEPS);
      return new Score(sample.slot(), (double) step / SCORE_STEPS);
    }
  }
}
