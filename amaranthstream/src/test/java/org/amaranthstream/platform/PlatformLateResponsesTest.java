package org.amaranthstream.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.amaranthstream.http.ScriptedTcpServer.answer;
import static org.amaranthstream.http.ScriptedTcpServer.answerTwice;
import static org.amaranthstream.http.ScriptedTcpServer.lateCopyThen;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.ScriptedTcpServer;
import org.amaranthstream.http.ScriptedTcpServer.Step;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Responses of the store to an earlier call that arrive where the response to the next call on the
 * same connection is expected. Nothing in a response names its call.
 */
class PlatformLateResponsesTest {
  private static final String CONFLICT = response("409 Conflict", "Revision: 9\r\n", "");
  private static final String FOUND = response("200 OK", "Revision: 4\r\n", "value");
  private static final String MISSING = response("404 Not Found", "", "");
  private static final LeaseId LEASE = LeaseId.of("7");

  private final Vertx vertx = Vertx.vertx();

  /** Event loop of all calls: one that starts after another finds its connection idle. */
  private final Context context = vertx.getOrCreateContext();

  private ScriptedTcpServer server;
  private PlatformClient client;

  private void start(Step... steps) {
    server = ScriptedTcpServer.start(vertx, steps);
    URI url = URI.create("http://" + ScriptedTcpServer.HOST + ":" + server.port());
    client =
        PlatformClient.create(
            FramedHttpClients.on(vertx),
            VirtualTimerService.create(),
            new PlatformOptions(url, Optional.empty(), Duration.ofSeconds(5), 1_000));
  }

  @AfterEach
  void close() {
    client.close();
    server.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private <T> T call(Function<KeyValueStore, CompletableFuture<T>> made) {
    CompletableFuture<T> reply = new CompletableFuture<>();
    context.runOnContext(unused -> made.apply(client.store()).thenAccept(reply::complete));
    return reply.orTimeout(10, TimeUnit.SECONDS).join();
  }

  private WriteReply write(String key) {
    byte[] value = "value".getBytes(StandardCharsets.UTF_8);
    return call(store -> store.compareAndSwap(key, Revision.of(3), value, Optional.empty()));
  }

  @Test
  void readIsNotTakenForTheOutcomeOfWrite() {
    start(answer(FOUND), lateCopyThen(CONFLICT));
    call(store -> store.get("a"));
    assertThat(write("b")).isEqualTo(new WriteReply.Conflict(Revision.of(9)));
  }

  @Test
  void outcomeOfWriteIsNotTakenForThatOfAnother() {
    start(answer(response("200 OK", "Revision: 4\r\n", "")), lateCopyThen(CONFLICT));
    assertThat(write("a")).isEqualTo(new WriteReply.Written(Revision.of(4)));
    assertThat(write("b")).isEqualTo(new WriteReply.Conflict(Revision.of(9)));
  }

  @Test
  void missingKeyIsNotTakenForAnother() {
    start(answer(MISSING), lateCopyThen(FOUND));
    Result<Optional<KvEntry>> first = call(store -> store.get("a"));
    assertThat(first).isEqualTo(Result.success(Optional.empty()));
    Result<Optional<KvEntry>> second = call(store -> store.get("b"));
    assertThat(((Result.Success<Optional<KvEntry>>) second).value()).isPresent();
  }

  @Test
  void renewalIsNotTakenForThatOfAnEndedLease() {
    start(answer(response("200 OK", "", "")), lateCopyThen(MISSING));
    Result<LeaseId> first = call(store -> store.renewLease(LEASE));
    assertThat(first).isEqualTo(Result.success(LEASE));
    Result<LeaseId> second = call(store -> store.renewLease(LEASE));
    assertThat(second).isInstanceOf(Result.Failure.class);
  }

  @Test
  void secondCopyInTheSameSegmentDoesNotHarmTheNextCall() {
    start(answerTwice(FOUND), answer(CONFLICT));
    call(store -> store.get("a"));
    assertThat(write("b")).isEqualTo(new WriteReply.Conflict(Revision.of(9)));
    assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
  }
}
