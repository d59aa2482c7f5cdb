package org.amaranthstream.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.amaranthstream.http.ScriptedTcpServer.answer;
import static org.amaranthstream.http.ScriptedTcpServer.lateCopyThen;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Vertx;
import org.amaranthstream.http.CutAnswers;
import org.amaranthstream.http.ScriptedTcpServer;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Answers that a daemon, or a proxy in front of it, sends twice, late or not to the end. */
class AdminClientTest {
  private static final String CONFIG = "/v1/admin/config";
  private static final ConfigGeneration GENERATION = ConfigGeneration.of(3);
  private static final String APPLIED = response("200 OK", "ETag: \"4\"\r\n", "applied");
  private static final String CONFLICT =
      response("409 Conflict", "Server: s\r\n", "{\"name\":\"CONFIG_CONFLICT\",\"message\":\"m\"}");

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static AdminClient client(ScriptedTcpServer server) {
    return new AdminClient("http://" + ScriptedTcpServer.HOST + ":" + server.port(), "token");
  }

  private static ResultCode codeOf(Result<AdminResponse> response) {
    return ((Result.Failure<AdminResponse>) response).error().code();
  }

  @Test
  void lateResponseToAnotherCallIsNotBelieved() {
    try (ScriptedTcpServer server =
            ScriptedTcpServer.start(vertx, answer(APPLIED), lateCopyThen(CONFLICT));
        AdminClient client = client(server)) {
      assertThat(client.get(CONFIG)).isEqualTo(Result.success(new AdminResponse("4", "applied")));
      Result<AdminResponse> put = client.put(CONFIG, GENERATION, "new");
      assertThat(put).isInstanceOf(Result.Failure.class);
      assertThat(codeOf(put)).isEqualTo(ResultCode.CONFIG_CONFLICT);
    }
  }

  @Test
  void outcomeOfPutIsUnknownAfterAnAnswerThatBreaksOffBeforeAnother() {
    ImmutableList<String> answers = CutAnswers.joined(CONFLICT, APPLIED);
    try (ScriptedTcpServer server = ScriptedTcpServer.start(vertx, CutAnswers.steps(answers));
        AdminClient client = client(server)) {
      for (String answer : answers) {
        Result<AdminResponse> response = client.put(CONFIG, GENERATION, "new");
        assertWithMessage("%s: %s", answer, response)
            .that(response)
            .isInstanceOf(Result.Failure.class);
        assertWithMessage(answer)
            .that(codeOf(response))
            .isEqualTo(ResultCode.CONFIG_OUTCOME_UNKNOWN);
      }
    }
  }
}
