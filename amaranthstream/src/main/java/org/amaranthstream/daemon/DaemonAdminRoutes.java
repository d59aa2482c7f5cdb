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

/** Static methods that connect the administration routes to the components of a daemon. */
final class DaemonAdminRoutes {
  private DaemonAdminRoutes() {}

  /** Adds the administration routes to {@code router}. */
  static void mount(Router router, TokenVerifier verifier, DaemonComponents components) {
    AdminRoutes.builder()
        .verifier(verifier)
        .config(components.config())
        .explainer(components.decisionRecords()::explain)
        .dump(dumpOf(components))
        .status(() -> DaemonStatus.of(components))
        .build()
        .mount(router);
  }

  private static StateDump dumpOf(DaemonComponents components) {
    Duty decisions = components.threads().decisions();
    return StateDump.builder()
        .add("settings", () -> SettingsDump.of(components.settings()))
        .add("config", components.config()::status)
        .add("status", () -> DaemonStatus.of(components))
        .addAsync("membership", () -> supplyOn(decisions, components.table()::snapshot))
        .addAsync("peers", () -> supplyOn(decisions, components.peers()::snapshot))
        .addAsync("weights", () -> supplyOn(decisions, components.weights()::describe))
        .addAsync("claims", () -> supplyOn(decisions, components.claims()::describe))
        .addAsync("rollout", () -> describeRollout(components))
        .build();
  }

  private static CompletableFuture<Object> supplyOn(Duty duty, Supplier<?> supplier) {
    CompletableFuture<Object> value = new CompletableFuture<>();
    if (!duty.offer(() -> value.complete(supplier.get()))) {
      value.completeExceptionally(new IllegalStateException("the duty's task queue is full"));
    }
    return value;
  }

  private static CompletableFuture<Object> describeRollout(DaemonComponents components) {
    CompletableFuture<Object> value = new CompletableFuture<>();
    components.rollout().describe(result -> complete(value, result));
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
