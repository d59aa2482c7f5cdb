package org.amaranthstream.dispatch.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import org.amaranthstream.dispatch.AttemptListener;
import org.amaranthstream.dispatch.BackendTransport;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.http.ConnectionUses;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.HttpClientKind;
import org.amaranthstream.http.ResponseFraming;
import org.amaranthstream.http.ResponseOrigin;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.ring.Duty;

/**
 * Transport that runs attempts over HTTP, as described in {@code docs/PROTOCOLS.md}.
 *
 * <p>The connection is established before the request is written, so that an attempt that fails to
 * connect is known not to have sent anything. A cancellation has a connection of its own, so that
 * its response, which nothing depends on, reaches no attempt. Thread safe; listeners are called on
 * the decision duty.
 */
public final class HttpBackendTransport implements BackendTransport, AutoCloseable {
  private static final int MAX_CONNECTIONS_PER_SERVER = 512;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int KEEP_ALIVE_SECONDS = 30;
  private static final int MAX_CONNECT_TRIES = 20;

  /** The fields of a response that decide about its attempt. */
  private static final ImmutableSet<String> SINGLE_FIELDS =
      ImmutableSet.of(ResponseOrigin.HEADER, "Not-Run", "Draining", "Retry-After", "Content-Type");

  private final Vertx vertx;
  private final HttpClient client;
  private final HttpClient cancelClient;
  private final ConnectionUses connectionUses = ConnectionUses.create();
  private final Duty decisions;

  private HttpBackendTransport(Vertx vertx, FramedHttpClients clients, Duty decisions) {
    this.vertx = checkNotNull(vertx, "vertx");
    this.decisions = checkNotNull(decisions, "decisions");
    this.client =
        clients.create(
            HttpClientKind.CALLS,
            new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_SERVER),
            SINGLE_FIELDS);
    this.cancelClient =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setKeepAlive(false));
  }

  /**
   * Returns a transport that calls its listeners on {@code decisions}.
   *
   * @param clients creates the client of the attempts
   */
  public static HttpBackendTransport create(
      Vertx vertx, FramedHttpClients clients, Duty decisions) {
    return new HttpBackendTransport(vertx, clients, decisions);
  }

  @Override
  public Attempt start(
      BackendServer server,
      AttemptId id,
      Work work,
      long offset,
      String prefix,
      AttemptListener listener) {
    AttemptEventQueue events = new AttemptEventQueue(decisions, listener);
    HttpAttempt attempt = newAttempt(server, id, work, offset, prefix, events);
    connect(options(server, attempt.path()), MAX_CONNECT_TRIES).onComplete(attempt::onConnected);
    return attempt;
  }

  /**
   * Returns a request on a connection that may carry it. One on which bytes were part of no
   * response is closed within a turn of the event loop, and the next try takes another one.
   */
  private Future<HttpClientRequest> connect(RequestOptions options, int tries) {
    return client
        .request(options)
        .compose(
            request -> {
              if (ResponseFraming.mayCarryRequests(request.connection())) {
                return Future.succeededFuture(request);
              }
              request.reset();
              return tries > 1
                  ? nextTurn().compose(unused -> connect(options, tries - 1))
                  : Future.failedFuture("no connection stayed open");
            });
  }

  private Future<Void> nextTurn() {
    Promise<Void> turn = Promise.promise();
    vertx.runOnContext(turn::complete);
    return turn.future();
  }

  private HttpAttempt newAttempt(
      BackendServer server,
      AttemptId id,
      Work work,
      long offset,
      String prefix,
      AttemptEventQueue events) {
    Runnable cancelOnServer = () -> sendCancel(server, id);
    if (work.payload() instanceof Payload.Generate generate) {
      GenerateBody body = GenerateBody.of(id, work, generate, offset, prefix);
      return new GenerateAttempt(
          server.id(), id, body, offset, events, connectionUses, cancelOnServer);
    }
    return new CallAttempt(server.id(), id, (Payload.Call) work.payload(), events, connectionUses);
  }

  private void sendCancel(BackendServer server, AttemptId id) {
    cancelClient
        .request(options(server, "/v1/cancel"))
        .onSuccess(request -> request.send(CancelBody.of(id).toBuffer()));
  }

  private static RequestOptions options(BackendServer server, String path) {
    return new RequestOptions()
        .setMethod(HttpMethod.POST)
        .setHost(server.host())
        .setPort(server.port())
        .setURI(path);
  }

  /** Closes all connections. */
  @Override
  public void close() {
    client.close();
    cancelClient.close();
  }
}
