package org.amaranthstream.dispatch.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.BackendTransport;
import org.amaranthstream.http.ConnectionUse;
import org.amaranthstream.http.ConnectionUses;
import org.amaranthstream.http.MalformedResponseException;
import org.amaranthstream.http.ResponseOrigin;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.BackendServerId;
import org.jspecify.annotations.Nullable;

/**
 * An attempt that is one HTTP exchange with a backend server.
 *
 * <p>A response is used only if it belongs to this attempt. Otherwise the outcome is unknown, and
 * the connection is closed, because each further response on it may belong to an earlier request.
 *
 * <p>State is confined to the event loop of the connection; {@link #cancel} may be called from any
 * thread.
 */
abstract class HttpAttempt implements BackendTransport.Attempt {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RING_RETRY_INTERVAL_MILLIS = 1;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final int HTTP_OK = 200;

  private final BackendServerId server;
  private final AttemptId id;
  private final AttemptEventQueue events;
  private final ConnectionUses connectionUses;
  private volatile boolean cancelled;
  private volatile @Nullable Context context;
  private @Nullable HttpClientRequest request;

  HttpAttempt(
      BackendServerId server,
      AttemptId id,
      AttemptEventQueue events,
      ConnectionUses connectionUses) {
    this.server = server;
    this.id = id;
    this.events = events;
    this.connectionUses = connectionUses;
  }

  /** Returns the path of the HTTP request. */
  abstract String path();

  /** Sets the headers of {@code request} and returns its body. */
  abstract Buffer prepare(HttpClientRequest request);

  /** Returns true if the server ran the request and {@code response} carries the result. */
  boolean isResult(HttpClientResponse response) {
    return response.statusCode() == HTTP_OK;
  }

  /**
   * Reads a response for which {@link #isResult} is true, and checks that its content belongs to
   * this attempt.
   */
  abstract void onResult(HttpClientResponse response);

  /** Converts a response for which {@link #isResult} is false to the end of the attempt. */
  abstract AttemptEnd errorEnd(HttpClientResponse response, Buffer body);

  /** Called after the connection of a cancelled attempt was closed. */
  void afterCancel() {}

  final BackendServerId server() {
    return server;
  }

  final AttemptId id() {
    return id;
  }

  final AttemptEventQueue events() {
    return events;
  }

  final void onConnected(AsyncResult<HttpClientRequest> connected) {
    context = Vertx.currentContext();
    if (cancelled) {
      events.discard();
      if (connected.succeeded()) {
        connected.result().reset();
      }
      return;
    }
    if (connected.failed()) {
      end(new AttemptEnd.NotSent("no connection to " + server + ": " + reason(connected.cause())));
      return;
    }
    request = connected.result();
    send(request);
  }

  private void send(HttpClientRequest req) {
    ConnectionUse use = connectionUses.add(req.connection());
    req.putHeader(ResponseOrigin.HEADER, id.value());
    req.exceptionHandler(this::onLost);
    req.response().onComplete(result -> onResponse(use, result));
    final Buffer body = prepare(req);
    events.sending();
    req.end(body);
  }

  private void onResponse(ConnectionUse use, AsyncResult<HttpClientResponse> result) {
    if (result.failed()) {
      onLost(result.cause());
      return;
    }
    HttpClientResponse response = result.result();
    response.exceptionHandler(this::onLost);
    String echoed = response.getHeader(ResponseOrigin.HEADER);
    ResponseOrigin origin = ResponseOrigin.of(id.value(), echoed, use);
    if (origin == ResponseOrigin.OTHER_REQUEST) {
      endNotOwn(use, response, "response is for attempt " + echoed);
    } else if (isResult(response)) {
      onResult(response);
    } else if (origin.isOwn()) {
      response.body().onComplete(body -> onErrorBody(response, origin, body));
    } else {
      endNotOwn(use, response, "response with an error names no attempt");
    }
  }

  private void endNotOwn(ConnectionUse use, HttpClientResponse response, String reason) {
    logger.atWarning().log(
        "event=response_not_own server=%s attempt=%s status=%d connection=%d earlier_requests=%d"
            + " reason=\"%s\"",
        server, id, response.statusCode(), use.connection(), use.earlierRequests(), reason);
    endInvalid(reason);
  }

  private void onErrorBody(
      HttpClientResponse response, ResponseOrigin origin, AsyncResult<Buffer> body) {
    if (body.failed()) {
      onLost(body.cause());
      return;
    }
    if (origin == ResponseOrigin.FIRST_ON_CONNECTION) {
      // A second copy of it could not be told from the response to the next attempt.
      closeConnection();
    }
    end(errorEnd(response, body.result()));
  }

  /**
   * Ends the attempt because its connection was lost after bytes may have been sent. A connection
   * that was closed because of bytes that are part of no response shows no crash of the server.
   */
  final void onLost(Throwable cause) {
    if (cause instanceof MalformedResponseException) {
      endInvalid("response of " + server + " is malformed: " + reason(cause));
      return;
    }
    end(new AttemptEnd.Broken("connection to " + server + " lost: " + reason(cause)));
  }

  /** Ends the attempt because the response violates the protocol, and closes the connection. */
  final void endInvalid(String reason) {
    end(new AttemptEnd.Invalid(reason));
    closeConnection();
  }

  /** Ends the attempt. */
  final void end(AttemptEnd end) {
    events.end(end);
    pauseWhileBlocked(null);
  }

  /** Pauses {@code response} until the decision duty has accepted all queued events. */
  final void pauseWhileBlocked(@Nullable HttpClientResponse response) {
    if (!events.isBlocked()) {
      return;
    }
    if (response != null) {
      response.pause();
    }
    Context ctx = context;
    if (ctx != null) {
      ctx.owner().setTimer(RING_RETRY_INTERVAL_MILLIS, timer -> retry(response));
    }
  }

  private void retry(@Nullable HttpClientResponse response) {
    events.flush();
    if (events.isBlocked()) {
      pauseWhileBlocked(response);
    } else if (response != null) {
      response.resume();
    }
  }

  @Override
  public final void cancel() {
    cancelled = true;
    Context ctx = context;
    if (ctx != null) {
      ctx.runOnContext(unused -> cancelOnContext());
    }
  }

  private void cancelOnContext() {
    boolean running = !events.isEnded();
    events.discard();
    if (running) {
      closeConnection();
      afterCancel();
    }
  }

  final void closeConnection() {
    if (request != null) {
      request.connection().close();
    }
  }

  /** Returns true if the status of the response is 503, which a server uses for rejections. */
  static boolean isUnavailable(HttpClientResponse response) {
    return response.statusCode() == HTTP_UNAVAILABLE;
  }

  /** Returns the delay of the {@code Retry-After} header, if it is a number of seconds. */
  static Optional<Duration> retryAfter(HttpClientResponse response) {
    String header = response.getHeader("Retry-After");
    if (header == null || !header.chars().allMatch(Character::isDigit) || header.length() > 6) {
      return Optional.empty();
    }
    return header.isEmpty()
        ? Optional.empty()
        : Optional.of(Duration.ofSeconds(Integer.parseInt(header)));
  }

  private static String reason(Throwable cause) {
    String message = cause.getMessage();
    return message == null ? cause.getClass().getSimpleName() : message;
  }
}
