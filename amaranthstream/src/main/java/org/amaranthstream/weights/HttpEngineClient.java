package org.amaranthstream.weights;

import com.google.common.collect.ImmutableSet;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.function.Consumer;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.HttpClientKind;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ring.Duty;

/**
 * Engine client over HTTP. {@code docs/PROTOCOLS.md} describes the requests.
 *
 * <p>Each order has a connection of its own, because a reply does not name its order: on a reused
 * connection a late reply to one order would be taken for the reply to the next. Thread safe.
 */
public final class HttpEngineClient implements EngineClient, AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
  private static final int MAX_ANSWER_BYTES = 16 * 1024;
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpClient client;
  private final Duty duty;

  private HttpEngineClient(FramedHttpClients clients, Duty duty) {
    this.client =
        clients.create(
            HttpClientKind.ORDERS,
            new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setKeepAlive(false),
            new PoolOptions(),
            ImmutableSet.of());
    this.duty = duty;
  }

  /** Returns a client that calls its consumers on {@code duty}. */
  public static HttpEngineClient create(FramedHttpClients clients, Duty duty) {
    return new HttpEngineClient(clients, duty);
  }

  @Override
  public void load(LoadOrder order, Consumer<LoadReply> consumer) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(order.server().host())
            .setPort(order.server().port())
            .setURI("/v1/orders")
            .setTimeout(ANSWER_TIMEOUT.toMillis());
    client
        .request(options)
        .compose(request -> send(order, request))
        .recover(failure -> Future.succeededFuture(failed(failure)))
        .onSuccess(reply -> duty.offer(() -> consumer.accept(reply)));
  }

  /**
   * Writes the order to an open connection, unless {@link LoadOrder#mayWrite} now returns false.
   */
  private static Future<LoadReply> send(LoadOrder order, HttpClientRequest request) {
    if (!order.mayWrite().getAsBoolean()) {
      request.reset();
      return Future.succeededFuture(new LoadReply.Withheld());
    }
    JsonObject body =
        new JsonObject()
            .put("type", "LOAD_VERSION")
            .put("model", order.model().value())
            .put("version", order.version().value())
            .put("fencing", order.fencing().value());
    return request
        .putHeader("Content-Type", "application/json")
        .send(body.toBuffer())
        .compose(HttpEngineClient::read);
  }

  private static Future<LoadReply> read(HttpClientResponse response) {
    String length = response.getHeader("Content-Length");
    if (length == null || Long.parseLong(length) > MAX_ANSWER_BYTES) {
      response.request().reset();
      return Future.succeededFuture(
          new LoadReply.Failed("Content-Length " + length + " is missing or too large"));
    }
    return response.body().map(body -> toReply(response.statusCode(), body));
  }

  private static LoadReply toReply(int status, Buffer body) {
    try {
      JsonObject json = new JsonObject(body);
      if (status == OK) {
        return new LoadReply.Loaded(WeightVersion.of(json.getLong("version")));
      }
      String reason = "status " + status + ": " + json.getString("reason", "");
      return status == CONFLICT ? new LoadReply.Fenced(reason) : new LoadReply.Failed(reason);
    } catch (DecodeException | IllegalArgumentException | NullPointerException e) {
      return new LoadReply.Failed(
          "status " + status + ", response body is not valid JSON with a version");
    }
  }

  private static LoadReply failed(Throwable failure) {
    return new LoadReply.Failed(String.valueOf(failure.getMessage()));
  }

  @Override
  public void close() {
    client.close();
  }
}
