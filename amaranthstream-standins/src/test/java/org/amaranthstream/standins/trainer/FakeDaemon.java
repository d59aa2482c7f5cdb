package org.amaranthstream.standins.trainer;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.standins.engine.GeneratedText;
import org.amaranthstream.standins.server.FaultSwitches;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.Role;
import org.amaranthstream.standins.trainer.PullPage.Sample;
import org.amaranthstream.standins.trainer.PullPage.Segment;

/** Fake daemon that returns the samples of each step in one page, with a configurable defect. */
final class FakeDaemon extends Role<FaultSwitches> {
  private final Defect defect;
  private StepBody step;

  FakeDaemon(Defect defect) {
    super("daemon", new FaultSwitches());
    this.defect = defect;
  }

  @Override
  protected void addRoutes(Router router) {
    router.put("/v1/trainers/:trainer/steps/:step").handler(this::submit);
    router.post("/v1/trainers/:trainer/steps/:step/pull").handler(this::pull);
    router
        .post("/v1/models/:model/versions")
        .handler(ctx -> ctx.response().setStatusCode(202).end());
  }

  @Override
  protected void reset() {}

  private void submit(RoutingContext ctx) {
    try {
      step = Json.read(ctx.body().buffer(), StepBody.class);
      server().send(ctx, 202, new StepAccepted(slots(), "token-0"));
    } catch (IOException e) {
      ctx.response().setStatusCode(400).end();
    }
  }

  private void pull(RoutingContext ctx) {
    try {
      PullBody body = Json.read(ctx.body().buffer(), PullBody.class);
      server().send(ctx, 200, new PullPage(body.pull(), "token-1", samples(), 0, true));
    } catch (IOException e) {
      ctx.response().setStatusCode(400).end();
    }
  }

  private List<Sample> samples() {
    List<Sample> samples = new ArrayList<>();
    for (int slot = 0; slot < slots(); slot++) {
      samples.add(sample(slot));
    }
    switch (defect) {
      case DUPLICATE -> samples.add(samples.get(0));
      case MISSING -> samples.remove(0);
      default -> {}
    }
    return samples;
  }

  private Sample sample(int slot) {
    String key = GeneratedText.key("prompt", slot);
    int length = GeneratedText.length(key, step.maxTokens());
    boolean isCorrupt = defect == Defect.CORRUPT && slot == 0;
    long version = defect == Defect.STALE && slot == 0 ? 1 : 10;
    String text = GeneratedText.tokens(key, isCorrupt ? 1 : 0, length);
    return new Sample(slot, 0, text, length, List.of(new Segment(version, length)));
  }

  private int slots() {
    return step.groups().size() * step.samplesPerGroup();
  }

  enum Defect {
    NONE,
    DUPLICATE,
    MISSING,
    CORRUPT,
    STALE
  }
}
