package org.amaranthstream.weights;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.amaranthstream.http.ScriptedTcpServer.answer;
import static org.amaranthstream.http.ScriptedTcpServer.answerTwice;
import static org.amaranthstream.http.ScriptedTcpServer.lateCopyThen;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.http.CutAnswers;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.ScriptedTcpServer;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Orders to a server that answers an order twice. */
class HttpEngineClientTest {
  private final Vertx vertx = Vertx.vertx();

  /** Event loop of all orders: one that starts after another finds its connection idle. */
  private final Context context = vertx.getOrCreateContext();

  private final HttpEngineClient client =
      HttpEngineClient.create(
          FramedHttpClients.on(vertx),
          task -> {
            task.run();
            return true;
          });

  @AfterEach
  void close() {
    client.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private LoadReply load(ScriptedTcpServer server, long version) {
    CompletableFuture<LoadReply> reply = new CompletableFuture<>();
    LoadOrder order =
        new LoadOrder(
            new BackendServer(
                BackendServerId.of("engine-1"),
                PoolId.of("coding"),
                RegionId.of("lisboa"),
                AvailabilityZoneId.of("lisboa-a"),
                ScriptedTcpServer.HOST,
                server.port()),
            ModelId.of("model"),
            WeightVersion.of(version),
            FencingNumber.of(1),
            () -> true);
    context.runOnContext(unused -> client.load(order, reply::complete));
    return reply.orTimeout(10, TimeUnit.SECONDS).join();
  }

  private static String loaded(long version) {
    return response("200 OK", "", "{\"version\":" + version + "}");
  }

  @Test
  void lateReplyToAnotherOrderIsNotBelieved() {
    try (ScriptedTcpServer server =
        ScriptedTcpServer.start(
            vertx,
            answer(loaded(7)),
            lateCopyThen(response("409 Conflict", "", "{\"reason\":\"fenced\"}")))) {
      assertThat(load(server, 7)).isEqualTo(new LoadReply.Loaded(WeightVersion.of(7)));
      assertThat(load(server, 8)).isInstanceOf(LoadReply.Fenced.class);
    }
  }

  @Test
  void eachOrderHasItsOwnConnection() {
    try (ScriptedTcpServer server =
        ScriptedTcpServer.start(vertx, answerTwice(loaded(7)), answer(loaded(8)))) {
      assertThat(load(server, 7)).isEqualTo(new LoadReply.Loaded(WeightVersion.of(7)));
      assertThat(load(server, 8)).isEqualTo(new LoadReply.Loaded(WeightVersion.of(8)));
      assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
    }
  }

  /** The head of the one answer and the rest of the other are not read as one reply. */
  @ParameterizedTest
  @ValueSource(strings = {"409 Conflict", "500 Failed", "200 OK"})
  void answerThatBreaksOffBeforeAnotherIsNotBelieved(String status) {
    String cut = response(status, "Server: s\r\n", "{\"reason\":\"fenced\"}");
    ImmutableList<String> answers = CutAnswers.joined(cut, loaded(7));
    try (ScriptedTcpServer server = ScriptedTcpServer.start(vertx, CutAnswers.steps(answers))) {
      for (String answer : answers) {
        LoadReply reply = load(server, 7);
        assertWithMessage(answer).that(reply).isInstanceOf(LoadReply.Failed.class);
        assertWithMessage(answer)
            .that(((LoadReply.Failed) reply).reason())
            .doesNotContainMatch("status [0-9]");
      }
    }
  }
}
