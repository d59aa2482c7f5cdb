package org.amaranthstream.platform;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Vertx;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.amaranthstream.http.CutAnswers;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.ScriptedTcpServer;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A store that stops within the head of an answer and then sends another one to the same call.
 * Guards against a reply with the status of the one and the rest of the other.
 */
class PlatformCutAnswersTest {
  private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);
  private static final String WRITTEN = response("200 OK", "Revision: 4\r\n", "");
  private static final String FOUND = response("200 OK", "Revision: 4\r\n", "value");
  private static final String MISSING = response("404 Not Found", "Server: s\r\n", "");
  private static final LeaseId LEASE = LeaseId.of("7");

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Makes a call for each cut of {@code first} and asserts that its reply is {@code expected}. */
  private <T> void assertReplies(
      String first,
      String next,
      Function<KeyValueStore, CompletableFuture<T>> call,
      Class<?> expected) {
    ImmutableList<String> answers = CutAnswers.joined(first, next);
    try (ScriptedTcpServer server = ScriptedTcpServer.start(vertx, CutAnswers.steps(answers));
        PlatformClient client = client(server)) {
      for (String answer : answers) {
        T reply = call.apply(client.store()).orTimeout(10, TimeUnit.SECONDS).join();
        assertWithMessage(answer).that(reply).isInstanceOf(expected);
      }
    }
  }

  private PlatformClient client(ScriptedTcpServer server) {
    URI url = URI.create("http://" + ScriptedTcpServer.HOST + ":" + server.port());
    return PlatformClient.create(
        FramedHttpClients.on(vertx),
        VirtualTimerService.create(),
        new PlatformOptions(url, Optional.empty(), Duration.ofSeconds(5), 1_000));
  }

  private static CompletableFuture<WriteReply> write(KeyValueStore store) {
    return store.compareAndSwap("k", Revision.of(3), VALUE, Optional.empty());
  }

  /** The write has taken effect, and must not count as failed for sure. */
  @ParameterizedTest
  @ValueSource(strings = {"409 Conflict", "503 Unavailable", "400 Bad Request"})
  void writeIsNotTakenToBeWithoutEffect(String status) {
    assertReplies(
        response(status, "Server: s\r\n", ""),
        WRITTEN,
        PlatformCutAnswersTest::write,
        WriteReply.Unknown.class);
  }

  @Test
  void conflictIsNotTakenForWrite() {
    assertReplies(
        WRITTEN,
        response("409 Conflict", "Revision: 9\r\n", ""),
        PlatformCutAnswersTest::write,
        WriteReply.Unknown.class);
  }

  @Test
  void keyIsNotTakenToBeMissing() {
    assertReplies(MISSING, FOUND, store -> store.get("k"), Result.Failure.class);
  }

  @Test
  void endedLeaseIsNotTakenToBeRenewed() {
    assertReplies(
        response("200 OK", "Server: s\r\n", ""),
        MISSING,
        store -> store.renewLease(LEASE),
        Result.Failure.class);
  }
}
