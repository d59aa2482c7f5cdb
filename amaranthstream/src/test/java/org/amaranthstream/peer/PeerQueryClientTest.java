package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerQueryClientTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final TestMesh mesh = new TestMesh();
  private final TestNode near = mesh.start("vm-a", "zone-a");
  private final TestNode far = mesh.start("vm-b", "zone-a");
  private CompletableFuture<Result<byte[]>> response = new CompletableFuture<>();
  private int handledQueries;

  @AfterEach
  void close() {
    mesh.close();
  }

  private CompletableFuture<Result<byte[]>> sendQuery(EntryVmId to) {
    far.node.queries().register(QueryKind.EXPLAIN, this::handle);
    return query(to);
  }

  private CompletableFuture<Result<byte[]>> query(EntryVmId to) {
    return near.node
        .queries()
        .query(to, QueryKind.EXPLAIN, "which".getBytes(StandardCharsets.UTF_8), TIMEOUT);
  }

  private CompletableFuture<Result<byte[]>> handle(
      org.amaranthstream.membership.LocalVm from, byte[] body, Duration timeout) {
    handledQueries++;
    assertThat(from).isEqualTo(near.self);
    assertThat(new String(body, StandardCharsets.UTF_8)).isEqualTo("which");
    assertThat(timeout).isEqualTo(TIMEOUT);
    return response;
  }

  private ResultCode failure(CompletableFuture<Result<byte[]>> result) {
    mesh.runUntil("result", result::isDone);
    return ((Result.Failure<byte[]>) result.join()).error().code();
  }

  @Nested
  class Sent {
    @Test
    void waitsForLinkAndReturnsResponse() {
      mesh.publishVmList();
      final CompletableFuture<Result<byte[]>> result = sendQuery(far.self.id());
      response.complete(Result.success("this".getBytes(StandardCharsets.UTF_8)));
      mesh.runUntil("result", result::isDone);
      assertThat(((Result.Success<byte[]>) result.join()).value())
          .isEqualTo("this".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void returnsErrorOfPeer() {
      mesh.publishVmList();
      response.complete(Result.failure(ResultCode.UNKNOWN_REQUEST, "no record"));
      assertThat(failure(sendQuery(far.self.id()))).isEqualTo(ResultCode.UNKNOWN_REQUEST);
    }

    @Test
    void notSentErrorOfPeerBecomesInternalError() {
      mesh.publishVmList();
      response.complete(
          Result.failure(ResultCode.PEER_UNREACHABLE, "the third entry VM is unreachable"));
      assertThat(failure(sendQuery(far.self.id()))).isEqualTo(ResultCode.INTERNAL);
    }

    @Test
    void isUnknownIfLinkIsLost() {
      mesh.connect(near, far);
      CompletableFuture<Result<byte[]>> result = sendQuery(far.self.id());
      mesh.runUntil("arrival", () -> handledQueries == 1);
      far.node.close();
      assertThat(failure(result)).isEqualTo(ResultCode.OUTCOME_UNKNOWN_PEER_LOST);
    }

    @Test
    void isUnknownAfterTimeout() {
      mesh.connect(near, far);
      CompletableFuture<Result<byte[]>> result = sendQuery(far.self.id());
      mesh.runUntil("arrival", () -> handledQueries == 1);
      mesh.timers.advance(TIMEOUT);
      assertThat(failure(result)).isEqualTo(ResultCode.OUTCOME_UNKNOWN_DEADLINE);
    }
  }

  /** The response to a query that timed out must not end a later query. */
  @Nested
  class LateResponses {
    @Test
    void doNotReachTheNextQuery() {
      mesh.connect(near, far);
      final CompletableFuture<Result<byte[]>> first = sendQuery(far.self.id());
      mesh.runUntil("arrival", () -> handledQueries == 1);
      mesh.timers.advance(TIMEOUT);
      assertThat(failure(first)).isEqualTo(ResultCode.OUTCOME_UNKNOWN_DEADLINE);
      final CompletableFuture<Result<byte[]>> late = response;
      response = new CompletableFuture<>();
      final CompletableFuture<Result<byte[]>> second = query(far.self.id());
      mesh.runUntil("arrival", () -> handledQueries == 2);
      late.complete(Result.success(new byte[] {1}));
      response.complete(Result.success(new byte[] {2}));
      mesh.runUntil("result", second::isDone);

      assertThat(((Result.Success<byte[]>) second.join()).value()).isEqualTo(new byte[] {2});
    }
  }

  @Nested
  class NotSent {
    @Test
    void toUnknownEntryVmIsNotSent() {
      assertThat(failure(sendQuery(EntryVmId.of("vm-z")))).isEqualTo(ResultCode.PEER_UNREACHABLE);
    }

    @Test
    void toClosedEntryVmIsNotSent() {
      mesh.publishVmList();
      far.node.close();
      CompletableFuture<Result<byte[]>> result = sendQuery(far.self.id());
      mesh.duty.runNext();
      mesh.timers.advance(TIMEOUT);
      assertThat(failure(result)).isEqualTo(ResultCode.PEER_UNREACHABLE);
      assertThat(handledQueries).isEqualTo(0);
    }
  }

  @Nested
  class Local {
    @Test
    void isHandledByLocalHandler() {
      response.complete(Result.success(new byte[] {1}));
      near.node.queries().register(QueryKind.EXPLAIN, PeerQueryClientTest.this::handle);
      CompletableFuture<Result<byte[]>> result =
          near.node
              .queries()
              .query(
                  near.self.id(),
                  QueryKind.EXPLAIN,
                  "which".getBytes(StandardCharsets.UTF_8),
                  TIMEOUT);
      mesh.runUntil("result", result::isDone);
      assertThat(result.join()).isInstanceOf(Result.Success.class);
    }
  }
}
