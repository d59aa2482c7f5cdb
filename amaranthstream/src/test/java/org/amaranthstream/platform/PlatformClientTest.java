package org.amaranthstream.platform;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.auth.Secret;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.SystemTimerService;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformClientTest {
  private static final Duration TIMEOUT = Duration.ofMillis(300);
  private static final Duration NO_WAIT = Duration.ofMillis(1);
  private static final Revision REVISION = Revision.of(3);
  private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

  private final Vertx vertx = Vertx.vertx();
  private final SystemTimerService clock = SystemTimerService.start("test-timers");
  private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
  private volatile Handler<HttpServerRequest> handler = request -> answer(request, 200);
  private HttpServer server;
  private PlatformClient client;

  @BeforeEach
  void startServer() {
    server = vertx.createHttpServer().requestHandler(this::serve);
    await(server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture());
    client =
        PlatformClient.create(
            FramedHttpClients.on(vertx), clock.forDuty(PlatformClientTest::runNow), options(1_000));
  }

  @AfterEach
  void stop() {
    client.close();
    await(vertx.close().toCompletionStage().toCompletableFuture());
    clock.close();
  }

  private static boolean runNow(Runnable task) {
    task.run();
    return true;
  }

  private PlatformOptions options(int callsPerSecond) {
    URI url = URI.create("http://127.0.0.1:" + server.actualPort() + "/");
    Optional<Secret> token = Optional.of(Secret.of("platform-token"));
    return new PlatformOptions(url, token, TIMEOUT, callsPerSecond);
  }

  private void serve(HttpServerRequest request) {
    request.body().onSuccess(body -> take(request, body));
  }

  private void take(HttpServerRequest request, Buffer body) {
    requests.add(request.method() + " " + request.uri() + " " + body);
    handler.handle(request);
  }

  private static void answer(HttpServerRequest request, int status) {
    request.response().setStatusCode(status).putHeader("Revision", "4").end("value");
  }

  private static <T> T await(CompletableFuture<T> future) {
    return future.join();
  }

  private WriteReply swap() {
    return await(client.store().compareAndSwap("config", REVISION, VALUE, Optional.empty()));
  }

  @Nested
  class Get {
    @Test
    void returnsValueAndRevision() {
      Result<Optional<KvEntry>> result = await(client.store().get("claims/7"));
      KvEntry entry = ((Result.Success<Optional<KvEntry>>) result).value().orElseThrow();
      assertThat(entry.value()).isEqualTo(VALUE);
      assertThat(entry.revision()).isEqualTo(Revision.of(4));
      assertThat(requests).containsExactly("GET /v1/kv/claims/7 ");
    }

    @Test
    void sendsTheToken() {
      CompletableFuture<String> seen = new CompletableFuture<>();
      handler =
          request -> {
            seen.complete(request.getHeader("Authorization"));
            answer(request, 200);
          };
      await(client.store().get("config"));
      assertThat(await(seen)).isEqualTo("Bearer platform-token");
    }

    @Test
    void returnsNothingForMissingKey() {
      handler = request -> request.response().setStatusCode(404).end();
      assertThat(await(client.store().get("config"))).isEqualTo(Result.success(Optional.empty()));
    }

    @Test
    void failsDuringAnOutage() {
      handler = request -> request.response().setStatusCode(503).end();
      assertThat(await(client.store().get("config"))).isInstanceOf(Result.Failure.class);
      assertThat(client.counts().failed(CallKind.READ)).isEqualTo(1);
    }
  }

  @Nested
  class Watch {
    @Test
    void returnsNothingOnceTheWaitIsOver() {
      handler = request -> request.response().setStatusCode(304).end();
      assertThat(await(client.store().watch("config", REVISION, NO_WAIT)))
          .isEqualTo(Result.success(Optional.empty()));
      assertThat(requests).containsExactly("GET /v1/kv/config?after=3&waitMs=1 ");
    }

    @Test
    void failsIfTheConnectionIsUnresponsive() {
      handler = request -> {};
      assertThat(await(client.store().watch("config", REVISION, NO_WAIT)))
          .isInstanceOf(Result.Failure.class);
    }
  }

  @Nested
  class CompareAndSwap {
    @Test
    void returnsTheRevisionOfTheWrite() {
      LeaseId lease = LeaseId.of("l1");
      WriteReply reply =
          await(client.store().compareAndSwap("config", REVISION, VALUE, Optional.of(lease)));
      assertThat(reply).isEqualTo(new WriteReply.Written(Revision.of(4)));
      assertThat(requests).containsExactly("PUT /v1/kv/config?expected=3&lease=l1 value");
    }

    @Test
    void returnsTheCurrentRevisionOfConflict() {
      handler = request -> answer(request, 409);
      assertThat(swap()).isEqualTo(new WriteReply.Conflict(Revision.of(4)));
    }

    @Test
    void isUnavailableIfTheServiceRejectsTheCall() {
      handler =
          request -> request.response().setStatusCode(429).putHeader("Retry-After", "2").end();
      WriteReply.Unavailable reply = (WriteReply.Unavailable) swap();
      assertThat(reply.retryAfter()).hasValue(Duration.ofSeconds(2));
      handler = request -> request.response().setStatusCode(503).end();
      assertThat(swap()).isInstanceOf(WriteReply.Unavailable.class);
    }

    @Test
    void isUnavailableIfTheConnectionIsRefused() {
      await(server.close().toCompletionStage().toCompletableFuture());
      assertThat(swap()).isInstanceOf(WriteReply.Unavailable.class);
    }

    @Test
    void isUnknownIfTheConnectionIsLostAfterTheRequest() {
      handler = request -> request.connection().close();
      assertThat(swap()).isInstanceOf(WriteReply.Unknown.class);
    }

    @Test
    void isUnknownIfNoResponseArrives() {
      handler = request -> {};
      assertThat(swap()).isInstanceOf(WriteReply.Unknown.class);
    }

    @Test
    void isUnknownIfTheResponseIsTruncated() {
      handler =
          request -> {
            request.response().putHeader("Content-Length", "9").write("v");
            request.connection().close();
          };
      assertThat(swap()).isInstanceOf(WriteReply.Unknown.class);
    }

    @Test
    void isUnknownAfterServerError() {
      handler = request -> answer(request, 500);
      assertThat(swap()).isInstanceOf(WriteReply.Unknown.class);
    }
  }

  @Nested
  class UnresponsiveConnection {
    private final Set<Object> old = ConcurrentHashMap.newKeySet();
    private final List<HttpServerRequest> held = new ArrayList<>();

    @Test
    void failsNoLaterCall() {
      handler = this::holdUntilTwoAreOpen;
      CompletableFuture<?> first = client.store().get("config");
      CompletableFuture<?> second = client.store().get("config");
      await(CompletableFuture.allOf(first, second));
      assertThat(old).hasSize(2);
      handler = this::answerOnNewConnections;
      assertThat(swap()).isInstanceOf(WriteReply.Written.class);
      assertThat(swap()).isInstanceOf(WriteReply.Written.class);
    }

    /** Such a watch would hold back the changes of its key until its own deadline. */
    @Test
    void endsTheWatchesThatWaitOnItsPool() {
      handler = request -> {};
      CompletableFuture<?> watch = client.store().watch("config", REVISION, Duration.ofMinutes(10));
      await(client.store().get("config"));
      assertThat(await(watch.orTimeout(30, TimeUnit.SECONDS))).isInstanceOf(Result.Failure.class);
    }

    private void holdUntilTwoAreOpen(HttpServerRequest request) {
      old.add(request.connection());
      held.add(request);
      if (held.size() == 2) {
        held.forEach(waiting -> answer(waiting, 200));
      }
    }

    private void answerOnNewConnections(HttpServerRequest request) {
      if (!old.contains(request.connection())) {
        answer(request, 200);
      }
    }
  }

  @Nested
  class Lists {
    @Test
    void readsEntries() {
      handler =
          request ->
              request
                  .response()
                  .end("{\"entries\":[{\"key\":\"a/1\",\"value\":\"dmFsdWU=\",\"revision\":5}]}");
      Result<List<KvEntry>> result = await(client.store().list("a/"));
      KvEntry entry = ((Result.Success<List<KvEntry>>) result).value().get(0);
      assertThat(entry.value()).isEqualTo(VALUE);
      assertThat(entry.revision()).isEqualTo(Revision.of(5));
    }

    @Test
    void readsVms() {
      handler =
          request ->
              request
                  .response()
                  .end(
                      "{\"vms\":[{\"name\":\"b1\",\"kind\":\"BACKEND\",\"region\":\"r\",\"zone\":"
                          + "\"z\",\"host\":\"127.0.0.1\",\"port\":7,\"pool\":\"p\","
                          + "\"leaving\":true}]}");
      Result<List<VmEntry>> result = await(client.vmList().read());
      VmEntry vm = ((Result.Success<List<VmEntry>>) result).value().get(0);
      assertThat(vm.kind()).isEqualTo(VmKind.BACKEND);
      assertThat(vm.leaving()).isTrue();
      assertThat(vm.pool()).isPresent();
    }

    @Test
    void readsTheOtherVmsBesideAnOddOne() {
      String vm =
          "{\"name\":\"%s\",\"kind\":\"%s\",\"region\":\"r\",\"zone\":\"z\",\"host\":\"127.0.0.1\","
              + "\"port\":%s}";
      String sound = String.format(vm, "b1", "BACKEND", "7");
      List<String> odd =
          List.of(
              String.format(vm, "b2", "BACKEND", "65536"),
              String.format(vm, "b2", "BACKEND", "0"),
              String.format(vm, "b2", "BACKEND", "1e400"),
              String.format(vm, "b2", "BACKEND", "99999999999999999999"),
              String.format(vm, "b2", "UNKNOWN", "7"),
              String.format(vm, "b2", "BACKEND", "[".repeat(900) + "]".repeat(900)),
              "7",
              "{}");
      for (String vmJson : odd) {
        handler = request -> request.response().end("{\"vms\":[" + vmJson + "," + sound + "]}");
        Result<List<VmEntry>> result = await(client.vmList().read());
        assertThat(result).isInstanceOf(Result.Success.class);
        assertThat(((Result.Success<List<VmEntry>>) result).value()).hasSize(1);
      }
    }

    @Test
    void rejectsMalformedBody() {
      for (String body : List.of("", "{", "[]", "{\"vms\":[{\"name\":1}]}", "{\"vms\":[{}]}")) {
        handler = request -> request.response().end(body);
        assertThat(await(client.vmList().read())).isInstanceOf(Result.Failure.class);
      }
    }
  }

  @Nested
  class Leases {
    @Test
    void areGrantedRenewedAndRevoked() {
      handler = request -> request.response().setStatusCode(201).end("{\"lease\":\"l1\"}");
      LeaseId lease = LeaseId.of("l1");
      assertThat(await(client.store().grantLease(Duration.ofSeconds(2))))
          .isEqualTo(Result.success(lease));
      handler = request -> request.response().end();
      assertThat(await(client.store().renewLease(lease))).isEqualTo(Result.success(lease));
      assertThat(await(client.store().revokeLease(lease))).isEqualTo(Result.success(lease));
      handler = request -> request.response().setStatusCode(404).end();
      assertThat(await(client.store().renewLease(lease))).isInstanceOf(Result.Failure.class);
      assertThat(requests)
          .containsExactly(
              "POST /v1/leases {\"ttlMs\":2000}",
              "POST /v1/leases/l1/renew ",
              "DELETE /v1/leases/l1 ",
              "POST /v1/leases/l1/renew ")
          .inOrder();
    }
  }

  @Nested
  class Budget {
    private final VirtualTimerService virtual = VirtualTimerService.create();

    @Test
    void rejectsCallsBeyondIt() {
      try (PlatformClient limited =
          PlatformClient.create(FramedHttpClients.on(vertx), virtual, options(1))) {
        await(limited.store().get("config"));
        await(limited.store().get("config"));
        WriteReply reply =
            await(limited.store().compareAndSwap("config", REVISION, VALUE, Optional.empty()));
        assertThat(((WriteReply.Unavailable) reply).retryAfter()).hasValue(Duration.ofSeconds(1));
        assertThat(limited.counts().overBudget(CallKind.WRITE)).isEqualTo(1);
        assertThat(requests).hasSize(2);
        virtual.advance(Duration.ofSeconds(1));
        assertThat(await(limited.store().get("config"))).isInstanceOf(Result.Success.class);
      }
    }
  }
}
