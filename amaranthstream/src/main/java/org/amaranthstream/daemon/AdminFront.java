package org.amaranthstream.daemon;

import io.vertx.ext.web.Router;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.amaranthstream.admin.AdminRoutes;
import org.amaranthstream.admin.StateDump;
import org.amaranthstream.auth.TokenVerifier;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.rollout.RolloutDescription;
import org.amaranthstream.settings.SettingsDump;

/** Joins the administration routes with the parts of a daemon. */
final class AdminFront {
  private AdminFront() {}

  static void mount(Router router, TokenVerifier verifier, Core core) {
    AdminRoutes.builder()
        .verifier(verifier)
        .config(core.config())
        .explainer(core.decisionParts()::explain)
        .dump(dumpOf(core))
        .status(() -> DaemonStatus.of(core))
        .build()
        .mount(router);
  }

  private static StateDump dumpOf(Core core) {
    Duty decisions = core.threads().decisions();
    return StateDump.builder()
        .add("settings", () -> SettingsDump.of(core.settings()))
        .add("config", core.config()::status)
        .add("status", () -> DaemonStatus.of(core))
        .addAsync("membership", () -> onDuty(decisions, core.table()::snapshot))
        .addAsync("peers", () -> onDuty(decisions, core.peers()::snapshot))
        .addAsync("weights", () -> onDuty(decisions, core.weights()::describe))
        .addAsync("claims", () -> onDuty(decisions, core.claims()::describe))
        .addAsync("rollout", () -> rollout(core))
        .build();
  }

  private static CompletableFuture<Object> onDuty(Duty duty, Supplier<?> part) {
    CompletableFuture<Object> value = new CompletableFuture<>();
    if (!duty.offer(() -> value.complete(part.get()))) {
      value.completeExceptionally(new IllegalStateException("the ring of the duty is full"));
    }
    return value;
  }

  private static CompletableFuture<Object> rollout(Core core) {
    CompletableFuture<Object> value = new CompletableFuture<>();
    core.rollout().describe(result -> complete(value, result));
    return value;
  }

  private static void complete(CompletableFuture<Object> value, Result<RolloutDescription> result) {
    if (result instanceof Result.Success<RolloutDescription> success) {
      value.complete(success.value());
    } else {
      value.completeExceptionally(
          new IllegalStateException(
              ((Result.Failure<RolloutDescription>) result).error().toString()));
    }
  }
}
