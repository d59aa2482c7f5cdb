package org.amaranthstream.platform;

import io.vertx.core.AsyncResult;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.amaranthstream.ids.Revision;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP call to the platform. It first obtains a connection and then writes the request, so a
 * failure to connect proves that nothing was sent.
 *
 * <p>Thread safe: {@link #expire} may be called on the thread of the timers.
 */
final class PlatformCall {
  static final String REVISION = "Revision";
  static final String RETRY_AFTER = "Retry-After";

  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  private final Buffer body;
  private final CompletableFuture<PlatformReply> reply = new CompletableFuture<>();
  private volatile @Nullable HttpClientRequest request;
  private boolean expired;

  PlatformCall(Buffer body) {
    this.body = body;
  }

  CompletableFuture<PlatformReply> reply() {
    return reply;
  }

  void onConnected(AsyncResult<HttpClientRequest> connected) {
    if (connected.failed()) {
      reply.complete(
          new PlatformReply.NotSent("no connection: " + connected.cause(), Optional.empty()));
      return;
    }
    HttpClientRequest ready = connected.result();
    if (!begin(ready)) {
      ready.reset();
      return;
    }
    ready.response().onSuccess(this::onResponse).onFailure(this::onLost);
    ready.end(body);
  }

  /** Returns false if the call has timed out while it waited for a connection. */
  private synchronized boolean begin(HttpClientRequest ready) {
    if (!expired) {
      request = ready;
    }
    return !expired;
  }

  /** Fails the call because its deadline has passed, and closes its connection. */
  void expire() {
    HttpClientRequest sent;
    synchronized (this) {
      expired = true;
      sent = request;
    }
    if (sent == null) {
      reply.complete(new PlatformReply.NotSent("no connection in time", Optional.empty()));
    } else if (reply.complete(new PlatformReply.Lost("no answer in time"))) {
      sent.reset();
    }
  }

  private void onLost(Throwable cause) {
    reply.complete(new PlatformReply.Lost("connection lost: " + cause));
  }

  private void onResponse(HttpClientResponse response) {
    Buffer received = Buffer.buffer();
    response.handler(
        part -> {
          received.appendBuffer(part);
          if (received.length() > MAX_BODY_BYTES) {
            reply.complete(new PlatformReply.Lost("response exceeds " + MAX_BODY_BYTES + " bytes"));
            response.request().reset();
          }
        });
    response.exceptionHandler(this::onLost);
    response.endHandler(
        unused ->
            reply.complete(
                new PlatformReply.Answered(
                    response.statusCode(),
                    number(response, REVISION).map(Revision::of),
                    number(response, RETRY_AFTER).map(Duration::ofSeconds),
                    received)));
  }

  private static Optional<Long> number(HttpClientResponse response, String header) {
    String value = response.getHeader(header);
    boolean isNumber = value != null && NUMBER.matcher(value).matches();
    return isNumber ? Optional.of(Long.valueOf(value)) : Optional.empty();
  }
}
