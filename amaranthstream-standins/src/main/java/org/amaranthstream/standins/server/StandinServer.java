package org.amaranthstream.standins.server;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * HTTP server of one stand-in. It serves the role's protocol, the control and ledger endpoints, and
 * injects the faults that all roles have in common.
 *
 * <p>All work of a stand-in runs on one event loop, so roles need no locks. The public methods are
 * thread safe unless they say otherwise.
 *
 * <pre>{@code
 * StandinServer server = StandinServer.start(new KvRole(), "127.0.0.1", 0, CrashMode.CLOSE);
 * server.control("{\"slowMs\": 50}");
 * server.close();
 * }</pre>
 */
public final class StandinServer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final int AWAIT_TIMEOUT_SECONDS = 10;
  private static final int CRASH_EXIT_CODE = 137;
  private static final String ATTEMPT_HEADER = "Attempt";
  private static final String CONTROL_PATH = "/v1/control";
  private static final String LEDGER_PATH = "/v1/ledger";

  private final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
  private final Context context = vertx.getOrCreateContext();
  private final Set<HttpConnection> openConnections = new HashSet<>();
  private final Set<HttpConnection> silentConnections = new HashSet<>();
  private final Role<?> role;
  private final String host;
  private final CrashMode crashMode;
  private final Router router;
  private HttpServer server;
  private volatile int port;

  private StandinServer(Role<?> role, String host, int port, CrashMode crashMode) {
    this.role = role;
    this.host = host;
    this.port = port;
    this.crashMode = crashMode;
    this.router = Router.router(vertx);
    this.server = newServer();
  }

  /** Starts a server; port 0 selects a free one. */
  public static StandinServer start(Role<?> role, String host, int port, CrashMode crashMode) {
    StandinServer standin = new StandinServer(role, host, port, crashMode);
    standin.await(standin.runOnEventLoop(standin::addRoutesAndListen));
    logger.atInfo().log("event=started role=%s port=%d", role.name(), standin.port());
    return standin;
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return port;
  }

  /** Returns the base URL, without a trailing slash. */
  public String url() {
    return "http://" + host + ":" + port;
  }

  /** Returns the Vert.x instance, for timers of the role. */
  public Vertx vertx() {
    return vertx;
  }

  /**
   * Sets fault switches, as a request to {@code /v1/control} does.
   *
   * @throws IllegalStateException if a switch is unknown or its value has the wrong type
   */
  public void control(String json) {
    await(runOnEventLoop(done -> applyControl(Buffer.buffer(json)).onComplete(done)));
  }

  /** Returns the ledger as JSON, as a request to {@code /v1/ledger} does. */
  public String ledgerText() {
    return await(
        runOnEventLoop(done -> done.complete(Json.text(role.ledger().page(role.name(), 0)))));
  }

  /**
   * Returns true if {@code connection} gets no responses. A control or ledger request on it ends
   * that state. On the event loop only.
   */
  public boolean isSilent(HttpConnection connection) {
    return silentConnections.contains(connection);
  }

  /**
   * Sends {@code body} as JSON unless the connection is silent or closed. On the event loop only.
   */
  public void send(RoutingContext ctx, int status, Object body) {
    if (isSilent(ctx.request().connection()) || ctx.response().closed()) {
      return;
    }
    ctx.response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(Json.text(body));
  }

  /**
   * Simulates a crash, as the switch {@code crash} does. On the event loop only.
   *
   * <p>Halts the process in {@link CrashMode#HALT} unless a restart is configured. Otherwise closes
   * the server and its connections, and listens again after {@code restartAfterMs}.
   */
  public void crash() {
    logger.atWarning().log("event=crashed role=%s port=%d", role.name(), port);
    FaultSwitches switches = role.switches();
    if (crashMode == CrashMode.HALT && switches.restartAfterMs < 0) {
      Runtime.getRuntime().halt(CRASH_EXIT_CODE);
    }
    role.ledger().recordCrash();
    role.reset();
    Set.copyOf(openConnections).forEach(HttpConnection::close);
    Future<Void> closed = server.close();
    if (switches.restartAfterMs >= 0) {
      closed
          .compose(ok -> vertx.timer(Math.max(1, switches.restartAfterMs)))
          .onComplete(fired -> restart());
    }
  }

  @Override
  public void close() {
    await(vertx.close());
  }

  private HttpServer newServer() {
    return vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(0));
  }

  private void addRoutesAndListen(Promise<Void> done) {
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    router.post(CONTROL_PATH).handler(this::handleControl);
    router.get(LEDGER_PATH).handler(this::handleLedger);
    router.get("/healthz").handler(ctx -> ctx.response().end("ok\n"));
    role.attach(this, router);
    listen().onComplete(done);
  }

  private Future<Void> listen() {
    server = newServer();
    return server
        .connectionHandler(this::addConnection)
        .requestHandler(this::handleRequest)
        .listen(port, host)
        .map(
            bound -> {
              port = bound.actualPort();
              return null;
            });
  }

  private void restart() {
    listen()
        .onSuccess(ok -> logger.atInfo().log("event=restarted role=%s port=%d", role.name(), port))
        .onFailure(
            e -> {
              logger.atWarning().log("event=restart_failed port=%d reason=%s", port, e);
              vertx.setTimer(100, id -> restart());
            });
  }

  private void addConnection(HttpConnection connection) {
    openConnections.add(connection);
    if (role.switches().silent) {
      silentConnections.add(connection);
    }
    connection.closeHandler(
        closed -> {
          openConnections.remove(connection);
          silentConnections.remove(connection);
        });
  }

  private void handleRequest(HttpServerRequest request) {
    String attempt = request.getHeader(ATTEMPT_HEADER);
    if (attempt != null) {
      request.response().putHeader(ATTEMPT_HEADER, attempt);
    }
    boolean isControl = request.path().equals(CONTROL_PATH) || request.path().equals(LEDGER_PATH);
    FaultSwitches switches = role.switches();
    if (isControl) {
      silentConnections.remove(request.connection());
      router.handle(request);
    } else if (isSilent(request.connection())) {
      role.ledger().count("requests_on_silent_connections", 1);
    } else if (switches.slowMs > 0) {
      request.pause();
      vertx.setTimer(switches.slowMs, id -> handleAfterDelay(request));
    } else {
      router.handle(request);
    }
  }

  private void handleAfterDelay(HttpServerRequest request) {
    router.handle(request);
    request.resume();
  }

  private void handleControl(RoutingContext ctx) {
    applyControl(ctx.body().buffer())
        .onSuccess(ok -> send(ctx, 200, role.switches()))
        .onFailure(e -> send(ctx, 400, new ErrorBody(String.valueOf(e.getMessage()))));
  }

  private Future<Void> applyControl(Buffer json) {
    FaultSwitches switches = role.switches();
    try {
      Json.update(switches, json);
    } catch (IOException e) {
      return Future.failedFuture(e);
    }
    if (switches.freeze) {
      switches.freeze = false;
      silentConnections.addAll(openConnections);
    }
    if (switches.crash) {
      switches.crash = false;
      vertx.runOnContext(ignored -> crash());
    }
    role.onSwitchesChanged();
    return Future.succeededFuture();
  }

  private void handleLedger(RoutingContext ctx) {
    String after = ctx.request().getParam("after", "0");
    send(ctx, 200, role.ledger().page(role.name(), Long.parseLong(after)));
  }

  private <T> Future<T> runOnEventLoop(Consumer<Promise<T>> task) {
    Promise<T> done = Promise.promise();
    context.runOnContext(ignored -> task.accept(done));
    return done.future();
  }

  private <T> T await(Future<T> future) {
    checkState(!Context.isOnEventLoopThread(), "blocking method called on an event loop thread");
    try {
      return future
          .toCompletionStage()
          .toCompletableFuture()
          .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException(e);
    }
  }

  record ErrorBody(String reason) {}
}
