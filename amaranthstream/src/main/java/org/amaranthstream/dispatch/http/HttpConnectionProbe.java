package org.amaranthstream.dispatch.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.function.Consumer;
import org.amaranthstream.dispatch.ConnectionProbe;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;

/**
 * Probe that requests the load report of a backend server over a new connection.
 *
 * <p>Thread safe; results are delivered on the decision thread.
 */
public final class HttpConnectionProbe implements ConnectionProbe, AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofMillis(800);
  private static final String PATH = "/v1/load";

  private final HttpClient client;
  private final Duty decisions;
  private final TimerService timers;

  private HttpConnectionProbe(Vertx vertx, Duty decisions, TimerService timers) {
    this.decisions = checkNotNull(decisions, "decisions");
    this.timers = checkNotNull(timers, "timers");
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setKeepAlive(false)
                .setConnectTimeout((int) TIMEOUT.toMillis()));
  }

  /** Returns a probe that delivers results on {@code decisions}, the duty of {@code timers}. */
  public static HttpConnectionProbe create(Vertx vertx, Duty decisions, TimerService timers) {
    return new HttpConnectionProbe(vertx, decisions, timers);
  }

  @Override
  public void probe(BackendServer server, Consumer<Boolean> result) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(server.host())
            .setPort(server.port())
            .setURI(PATH)
            .setTimeout(TIMEOUT.toMillis());
    client
        .request(options)
        .compose(HttpClientRequest::send)
        .onComplete(response -> deliver(result, response.succeeded()));
  }

  /** Passes the result to the decision thread, by a timer if the duty's ring buffer is full. */
  private void deliver(Consumer<Boolean> result, boolean responded) {
    if (!decisions.offer(() -> result.accept(responded))) {
      timers.after(Duration.ZERO, () -> result.accept(responded));
    }
  }

  @Override
  public void close() {
    client.close();
  }
}
