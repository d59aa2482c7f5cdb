package org.amaranthstream.metrics;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;

/** A handler for {@code GET /metrics} requests. Thread safe. */
public final class MetricsHandler implements Handler<RoutingContext> {
  private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final Metrics metrics;

  private MetricsHandler(Metrics metrics) {
    this.metrics = checkNotNull(metrics, "metrics");
  }

  /** Returns a handler that responds with {@code metrics}. */
  public static MetricsHandler of(Metrics metrics) {
    return new MetricsHandler(metrics);
  }

  @Override
  public void handle(RoutingContext routing) {
    routing.response().putHeader("Content-Type", CONTENT_TYPE).end(metrics.text());
  }
}
