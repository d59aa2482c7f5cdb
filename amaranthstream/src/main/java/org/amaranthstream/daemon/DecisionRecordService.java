package org.amaranthstream.daemon;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.daemon.wire.ExplainReply;
import org.amaranthstream.daemon.wire.ExplainRequest;
import org.amaranthstream.decisions.AsyncDecisionLog;
import org.amaranthstream.decisions.DecisionFile;
import org.amaranthstream.decisions.DecisionHistory;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.decisions.DecisionSink;
import org.amaranthstream.decisions.Explainer;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.PeerQueryService;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.DutyThread;
import org.amaranthstream.settings.Settings;
import org.jspecify.annotations.Nullable;

/**
 * A service that stores this daemon's decision records and explains requests from them. It also
 * responds to explanation queries of peers and sends such queries to them.
 */
final class DecisionRecordService implements AutoCloseable {
  private static final long MAX_FILE_BYTES = 64L << 20;
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);

  private final LocalVm self;
  private final DutyThread writer;
  private final DecisionHistory history;
  private final Explainer explainer;
  private final DecisionLog log;
  private @Nullable PeerQueryService queries;

  private DecisionRecordService(Settings settings, LocalVm self) {
    this.self = self;
    this.writer = DutyThread.start("records", settings.limits().writerQueueRecords());
    this.history = DecisionHistory.withCapacity(settings.limits().decisionRecords());
    this.explainer = Explainer.of(self.id(), self.incarnation());
    ImmutableList.Builder<DecisionSink> sinks = ImmutableList.builder();
    sinks.add(history);
    settings.dataFolder().ifPresent(folder -> sinks.add(DecisionFile.in(folder, MAX_FILE_BYTES)));
    this.log = AsyncDecisionLog.create(writer, sinks.build());
  }

  static DecisionRecordService create(Settings settings, LocalVm self) {
    return new DecisionRecordService(settings, self);
  }

  DecisionLog log() {
    return log;
  }

  /** Sets the sender of queries and registers the handler of peers' explanation queries. */
  void attach(PeerQueryService queries) {
    this.queries = queries;
    queries.register(
        QueryKind.EXPLAIN,
        (from, body, timeout) -> CompletableFuture.completedFuture(handleQuery(body)));
  }

  private Result<byte[]> handleQuery(byte[] body) {
    try {
      RequestId id = RequestId.parse(ExplainRequest.parseFrom(body).getRequestId());
      return explainLocally(id)
          .map(text -> ExplainReply.newBuilder().setText(text).build().toByteArray());
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "invalid query: " + e.getMessage());
    }
  }

  private Result<String> explainLocally(RequestId id) {
    return explainer.explain(id, history.of(id));
  }

  /** Explains a request from the records of the entry VM that generated its id. */
  CompletableFuture<Result<String>> explain(RequestId id) {
    if (id.vm().equals(self.id()) || queries == null) {
      return CompletableFuture.completedFuture(explainLocally(id));
    }
    byte[] body = ExplainRequest.newBuilder().setRequestId(id.toString()).build().toByteArray();
    return queries
        .query(id.vm(), QueryKind.EXPLAIN, body, QUERY_TIMEOUT)
        .thenApply(DecisionRecordService::parseResponse);
  }

  private static Result<String> parseResponse(Result<byte[]> response) {
    if (response instanceof Result.Failure<byte[]> failure) {
      return Result.failure(failure.error());
    }
    try {
      byte[] bytes = ((Result.Success<byte[]>) response).value();
      return Result.success(ExplainReply.parseFrom(bytes).getText());
    } catch (InvalidProtocolBufferException e) {
      return Result.failure(ResultCode.INTERNAL, "invalid response: " + e.getMessage());
    }
  }

  @Override
  public void close() {
    writer.close();
  }
}
