package org.amaranthstream.peer;

import com.google.protobuf.UnsafeByteOperations;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Query;
import org.amaranthstream.peer.wire.QueryReply;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.Duty;

/** Server side of queries. Queries are received on the decision thread only. */
final class QueryServer {
  private static final int MAX_OPEN_QUERIES_PER_LINK = 256;

  private final QueryHandlerRegistry handlers;
  private final Duty decisions;

  QueryServer(QueryHandlerRegistry handlers, Duty decisions) {
    this.handlers = handlers;
    this.decisions = decisions;
  }

  void onQuery(InboundLink link, Query query) {
    if (link.openQueries() >= MAX_OPEN_QUERIES_PER_LINK) {
      respond(
          link,
          query.getId(),
          error(ResultCode.INTERNAL, "the limit of open queries on the link is reached"));
      return;
    }
    link.addOpenQueries(1);
    handlers
        .handle(
            query.getKind(),
            link.peer(),
            query.getBody().toByteArray(),
            WireDurations.fromMillis(query.getTimeoutMs()))
        .thenAccept(result -> finish(link, query.getId(), result));
  }

  private void finish(InboundLink link, long id, Result<byte[]> result) {
    if (!decisions.offer(() -> link.addOpenQueries(-1))) {
      link.close();
      return;
    }
    respond(link, id, result);
  }

  private static Result<byte[]> error(ResultCode code, String message) {
    return Result.failure(ErrorDetail.of(code, message));
  }

  private static void respond(InboundLink link, long id, Result<byte[]> result) {
    SendResult sent = link.send(encode(id, result));
    if (sent == SendResult.TOO_LARGE) {
      sent =
          link.send(
              encode(
                  id, error(ResultCode.TOO_LARGE, "the response exceeds the maximum frame size")));
    }
    if (sent != SendResult.SENT) {
      link.close();
    }
  }

  private static Frame encode(long id, Result<byte[]> result) {
    QueryReply.Builder builder = QueryReply.newBuilder().setId(id);
    if (result instanceof Result.Success<byte[]> success) {
      builder.setBody(UnsafeByteOperations.unsafeWrap(success.value()));
    } else if (result instanceof Result.Failure<byte[]> failure) {
      builder.setError(ErrorCodec.encode(failure.error()));
    }
    return Frame.newBuilder().setQueryReply(builder).build();
  }
}
