package org.amaranthstream.daemon;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.auth.TokenVerifier;
import org.amaranthstream.ingress.CallHandler;
import org.amaranthstream.ingress.ConnectionLimit;
import org.amaranthstream.ingress.DrainHandler;
import org.amaranthstream.ingress.IngressRoutes;
import org.amaranthstream.ingress.PullHandler;
import org.amaranthstream.ingress.RequestFlow;
import org.amaranthstream.ingress.RequestKeyHandler;
import org.amaranthstream.ingress.StepHandler;
import org.amaranthstream.ingress.StrictFraming;
import org.amaranthstream.ingress.VersionHandler;
import org.amaranthstream.metrics.MetricsHandler;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.settings.Limits;
import org.amaranthstream.settings.Settings;

/** The HTTP server of a daemon for callers, trainers, operators and health checks. */
final class DaemonHttpServer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final int IDLE_TIMEOUT_SECONDS = 120;

  private final HttpServer server;
  private final DrainHandler drainHandler = DrainHandler.create();
  private final ConnectionLimit connectionLimit;
  private volatile boolean ready = true;

  private DaemonHttpServer(Settings settings, DaemonComponents components) {
    HttpServerOptions options = options(settings);
    this.connectionLimit = ConnectionLimit.of(settings.limits().httpConnections());
    this.server = components.threads().vertx().createHttpServer(options);
    this.server.connectionHandler(
        connection -> onConnected(connection, options, settings.limits()));
    this.server.requestHandler(newRouter(settings, components));
  }

  private void onConnected(HttpConnection connection, HttpServerOptions options, Limits limits) {
    if (connectionLimit.tryAdd(connection)) {
      RequestFlow flow = RequestFlow.builder().maxHeadBytes(limits::headerBytes).build();
      StrictFraming.apply(connection, options, flow);
    }
  }

  private static HttpServerOptions options(Settings settings) {
    return new HttpServerOptions()
        .setHost(settings.http().host())
        .setPort(settings.http().port())
        .setMaxHeaderSize(settings.limits().headerBytes())
        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
        .setHttp2ClearTextEnabled(false)
        .setTcpNoDelay(true);
  }

  /** Starts to listen; returns an error if the address cannot be bound. */
  static Result<DaemonHttpServer> start(Settings settings, DaemonComponents components) {
    DaemonHttpServer httpServer = new DaemonHttpServer(settings, components);
    Result<BlockingFutures.Done> listening = BlockingFutures.await(httpServer.server.listen());
    if (listening instanceof Result.Failure<BlockingFutures.Done> failure) {
      return Result.failure(
          ResultCode.INTERNAL,
          "cannot listen on " + settings.http() + ": " + failure.error().message());
    }
    return Result.success(httpServer);
  }

  private Router newRouter(Settings settings, DaemonComponents components) {
    Router router = Router.router(components.threads().vertx());
    router.get("/healthz").handler(routing -> routing.response().end("ok\n"));
    router.get("/readyz").handler(this::handleReadiness);
    router.get("/metrics").handler(MetricsHandler.of(components.metrics().registry()));
    TokenVerifier verifier = TokenVerifier.of(settings.callers());
    IngressRoutes.builder()
        .verifier(verifier)
        .drainHandler(drainHandler)
        .maxBodyBytes(settings.limits().bodyBytes())
        .calls(callHandler(components))
        .requestKeys(RequestKeyHandler.of(components.keyIssuer(), components.self().id()))
        .steps(StepHandler.of(components.rollout()))
        .pulls(PullHandler.of(components.rollout()))
        .versions(VersionHandler.of(components.weights()))
        .build()
        .mount(router);
    DaemonAdminRoutes.mount(router, verifier, components);
    router.route().failureHandler(DaemonHttpServer::onFailure);
    return router;
  }

  private static Handler<RoutingContext> callHandler(DaemonComponents components) {
    return CallHandler.builder()
        .config(components.config()::current)
        .requestIds(components.requestIds())
        .timers(components.threads().decisionTimers())
        .decisions(components.threads().decisions())
        .runner(components.dispatcher())
        .claimingRunner(components.claimingRunner())
        .versions(components.weights())
        .observer(components.metrics()::onOutcome)
        .build();
  }

  private void handleReadiness(RoutingContext routing) {
    routing
        .response()
        .setStatusCode(ready ? HTTP_OK : HTTP_UNAVAILABLE)
        .end(ready ? "ready\n" : "draining\n");
  }

  private static void onFailure(RoutingContext routing) {
    Throwable cause = routing.failure();
    if (cause != null) {
      logger.atWarning().withCause(cause).log(
          "event=http_handler_failed path=%s", routing.normalizedPath());
    }
    if (!routing.response().ended()) {
      int status = routing.statusCode() > 0 ? routing.statusCode() : 500;
      routing.response().setStatusCode(status).end();
    }
  }

  int port() {
    return server.actualPort();
  }

  /** Makes all further readiness checks fail. */
  void setNotReady() {
    ready = false;
  }

  DrainHandler drainHandler() {
    return drainHandler;
  }

  @Override
  public void close() {
    Result<BlockingFutures.Done> unused = BlockingFutures.await(server.close());
  }
}
