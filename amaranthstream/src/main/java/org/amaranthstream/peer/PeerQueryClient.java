package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Query;
import org.amaranthstream.peer.wire.QueryReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;

/**
 * Client side of queries. A query waits for its link up to the connect timeout or its own timeout,
 * whichever is shorter. Once it is sent, a lost link or a timeout makes its outcome unknown.
 *
 * <p>{@link #query} and {@link #register} are thread safe. All other methods are called on the
 * decision thread.
 */
final class PeerQueryClient implements PeerQueryService {
  private static final int MAX_OPEN_QUERIES = 4096;

  private final LocalVm self;
  private final PeerLinks links;
  private final QueryHandlerRegistry handlers;
  private final PeerLinkSettings settings;
  private final TimerService timers;
  private final Duty decisions;
  private final Map<Long, OpenQuery> openQueries = new HashMap<>();
  private long nextId = 1;

  PeerQueryClient(
      LocalVm self,
      PeerLinks links,
      QueryHandlerRegistry handlers,
      PeerLinkSettings settings,
      TimerService timers,
      Duty decisions) {
    this.self = self;
    this.links = links;
    this.handlers = handlers;
    this.settings = settings;
    this.timers = timers;
    this.decisions = decisions;
  }

  @Override
  public void register(QueryKind kind, QueryHandler handler) {
    handlers.register(kind, handler);
  }

  @Override
  public CompletableFuture<Result<byte[]>> query(
      EntryVmId to, QueryKind kind, byte[] body, Duration timeout) {
    OpenQuery query = new OpenQuery(to, kind, body, timeout, timers.nowNanos());
    if (!decisions.offer(() -> start(query))) {
      return CompletableFuture.completedFuture(
          Result.failure(
              ResultCode.NOT_RUN_QUEUE_FULL, "the queue of the decision thread is full"));
    }
    return query.future;
  }

  private void start(OpenQuery query) {
    if (query.to.equals(self.id())) {
      queryLocally(query);
      return;
    }
    Optional<PeerLink> link = links.getOrOpen(query.to);
    if (link.isEmpty()) {
      query.fail(ResultCode.PEER_UNREACHABLE, "unknown address of entry VM " + query.to);
    } else if (openQueries.size() >= MAX_OPEN_QUERIES) {
      query.fail(ResultCode.NOT_RUN_QUEUE_FULL, "the limit of open queries is reached");
    } else {
      long id = nextId++;
      openQueries.put(id, query);
      link.get().markUsed();
      if (link.get().isReady()) {
        send(id, query, link.get());
      }
    }
  }

  private void queryLocally(OpenQuery query) {
    handlers
        .handle(query.kind.number(), self, query.body, query.timeout)
        .thenAccept(
            result -> {
              if (!decisions.offer(() -> query.future.complete(result))) {
                query.future.complete(result);
              }
            });
  }

  private void send(long id, OpenQuery query, PeerLink link) {
    Query message =
        Query.newBuilder()
            .setId(id)
            .setKind(query.kind.number())
            .setBody(ByteString.copyFrom(query.body))
            .setTimeoutMs(WireDurations.toMillis(query.timeout))
            .build();
    SendResult sent = link.send(Frame.newBuilder().setQuery(message).build());
    if (sent == SendResult.SENT) {
      query.sent = true;
    } else if (sent == SendResult.FULL) {
      openQueries.remove(id);
      query.fail(
          ResultCode.NOT_RUN_QUEUE_FULL,
          "the queue of the link to entry VM " + query.to + " is full");
    } else if (sent == SendResult.TOO_LARGE) {
      openQueries.remove(id);
      query.fail(ResultCode.PEER_UNREACHABLE, "the query exceeds the maximum frame size");
    }
  }

  /** Sends the queries that wait for {@code link}. */
  void onLinkReady(PeerLink link) {
    for (Map.Entry<Long, OpenQuery> entry : List.copyOf(openQueries.entrySet())) {
      OpenQuery query = entry.getValue();
      if (!query.sent && query.to.equals(link.target())) {
        send(entry.getKey(), query, link);
      }
    }
  }

  /** Completes the query of a response. A late or repeated response is ignored. */
  void onResponse(PeerLink link, QueryReply response) {
    OpenQuery query = openQueries.get(response.getId());
    if (query == null || !query.sent || !query.to.equals(link.target())) {
      return;
    }
    openQueries.remove(response.getId());
    query.future.complete(decodeResponse(response));
  }

  private static Result<byte[]> decodeResponse(QueryReply response) {
    return switch (response.getOutcomeCase()) {
      case BODY -> Result.success(response.getBody().toByteArray());
      case ERROR -> Result.failure(ErrorCodec.decode(response.getError(), ResultCode.INTERNAL));
      case OUTCOME_NOT_SET ->
          Result.failure(ResultCode.INTERNAL, "the response of the peer has no outcome");
    };
  }

  /** Fails the queries sent on a lost connection, with an unknown outcome. */
  void onLinkLost(PeerLink link, String reason) {
    failMatching(
        query -> query.sent && query.to.equals(link.target()),
        ResultCode.OUTCOME_UNKNOWN_PEER_LOST,
        "the link to entry VM " + link.target() + " was lost: " + reason);
  }

  /** Fails the queries whose timeout has elapsed. */
  void tick() {
    long now = timers.nowNanos();
    long connectNanos = settings.connectTimeout().toNanos();
    failMatching(
        query -> !query.sent && query.ageNanos(now) >= query.connectTimeoutNanos(connectNanos),
        ResultCode.PEER_UNREACHABLE,
        "no connection within the timeout");
    failMatching(
        query -> query.sent && query.ageNanos(now) >= query.timeout.toNanos(),
        ResultCode.OUTCOME_UNKNOWN_DEADLINE,
        "no response within the timeout");
  }

  private void failMatching(Predicate<OpenQuery> filter, ResultCode code, String message) {
    for (Map.Entry<Long, OpenQuery> entry : List.copyOf(openQueries.entrySet())) {
      if (filter.test(entry.getValue())) {
        openQueries.remove(entry.getKey());
        entry.getValue().fail(code, message);
      }
    }
  }

  int openCount() {
    return openQueries.size();
  }

  private static final class OpenQuery {
    private final EntryVmId to;
    private final QueryKind kind;
    private final byte[] body;
    private final Duration timeout;
    private final long startNanos;
    private final CompletableFuture<Result<byte[]>> future = new CompletableFuture<>();
    private boolean sent;

    private OpenQuery(
        EntryVmId to, QueryKind kind, byte[] body, Duration timeout, long startNanos) {
      this.to = to;
      this.kind = kind;
      this.body = body;
      this.timeout = timeout;
      this.startNanos = startNanos;
    }

    private long ageNanos(long nowNanos) {
      return nowNanos - startNanos;
    }

    private long connectTimeoutNanos(long connectNanos) {
      return Math.min(connectNanos, timeout.toNanos());
    }

    private void fail(ResultCode code, String message) {
      future.complete(Result.failure(code, message));
    }
  }
}
