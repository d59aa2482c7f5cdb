package org.amaranthstream.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.auth.Credential;
import org.amaranthstream.auth.Role;
import org.amaranthstream.auth.Secret;
import org.amaranthstream.auth.TokenVerifier;
import org.amaranthstream.config.ConfigManager;
import org.amaranthstream.config.ConfigTiming;
import org.amaranthstream.config.FakeKeyValueStore;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.DutyThread;
import org.amaranthstream.time.SystemTimerService;
import org.amaranthstream.time.TimerService;

/** A server of the administration API on the loopback interface, with a fake key-value store. */
public final class AdminServer implements AutoCloseable {
  /** A token that the server accepts for the operator role. */
  public static final String OPERATOR = "operator-token-0001";

  /** A token that the server accepts for the caller role. */
  public static final String CALLER = "caller-token-000001";

  private static final Duration SECOND = Duration.ofSeconds(1);

  private final Vertx vertx = Vertx.vertx();
  private final SystemTimerService clock = SystemTimerService.start("admin-test-timers");
  private final DutyThread duty = DutyThread.start("admin-test", 64);
  private final HttpServer server;

  private record Status(EntryVmId vm, Duration uptime, Optional<String> reason, Secret secret) {}

  /** Starts the server on a free port. */
  public AdminServer() {
    TimerService timers = clock.forDuty(duty);
    ConfigManager configManager =
        ConfigManager.builder(
                duty,
                timers,
                new FakeKeyValueStore(timers),
                new ConfigTiming(SECOND, SECOND, SECOND, SECOND))
            .build();
    configManager.start();
    Router router = Router.router(vertx);
    AdminRoutes.builder()
        .verifier(
            TokenVerifier.of(
                ImmutableList.of(
                    credential(OPERATOR, Role.OPERATOR), credential(CALLER, Role.CALLER))))
        .config(configManager)
        .explainer(
            request ->
                CompletableFuture.completedFuture(
                    request.sequence() == 1
                        ? Result.success("After 0 ms: admitted.")
                        : Result.failure(ResultCode.RECORD_LOST, "the record is gone")))
        .dump(
            StateDump.builder()
                .add("config", configManager::status)
                .add(
                    "broken",
                    () -> {
                      throw new IllegalStateException("no state");
                    })
                .addAsync(
                    "node",
                    () ->
                        CompletableFuture.completedFuture(
                            JsonNodeFactory.instance.objectNode().put("a", 1)))
                .build())
        .status(
            () -> new Status(EntryVmId.of("a-1"), SECOND, Optional.empty(), Secret.of("hidden")))
        .build()
        .mount(router);
    server = vertx.createHttpServer().requestHandler(router);
    server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
  }

  private static Credential credential(String token, Role role) {
    return new Credential(CallerId.of(role.name()), role, Secret.of(token));
  }

  /** Returns the base URL of the server, without a trailing slash. */
  public String url() {
    return "http://127.0.0.1:" + server.actualPort();
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
    clock.close();
    duty.close();
  }
}
