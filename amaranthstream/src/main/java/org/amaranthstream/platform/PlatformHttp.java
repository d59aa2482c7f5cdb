package org.amaranthstream.platform;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.HttpClientKind;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * An HTTP client of the platform that limits the rate of calls and gives each call a deadline.
 *
 * <p>Each call has a connection of its own. Nothing in a response names its call, so on a reused
 * connection a second, late response to one call would be taken for the response to the next one: a
 * value that was read, for example, for the outcome of a write.
 *
 * <p>A call times out when its connection has become unresponsive without being closed. The other
 * open connections may be affected too, so the client is replaced by a new one, and the old client
 * is closed once its calls have ended. Calls whose response the service may delay are ended with
 * it, because they would reveal an unresponsive connection only at their own, later deadline.
 *
 * <p>Thread safe.
 */
public final class PlatformHttp implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_CONNECTIONS = 32;
  private static final int MAX_WAITING_CALLS = 256;
  private static final Duration MAX_WATCH = Duration.ofMinutes(2);
  private static final int HTTPS_PORT = 443;
  private static final int HTTP_PORT = 80;

  /** The fields of a response that callers read. */
  private static final ImmutableSet<String> SINGLE_FIELDS =
      ImmutableSet.of(PlatformCall.REVISION, PlatformCall.RETRY_AFTER);

  private final FramedHttpClients clients;
  private final TimerService timers;
  private final PlatformOptions options;
  private final CallBudget budget;
  private final CallCounts counts = new CallCounts();

  private final Set<WaitingCall> waiting = ConcurrentHashMap.newKeySet();

  @GuardedBy("this")
  private HttpClientAgent client;

  /** A call whose response the service may delay, and the pool of its connection. */
  private record WaitingCall(PlatformCall call, HttpClientAgent pool) {}

  /** Creates a client that opens connections on demand. */
  public PlatformHttp(FramedHttpClients clients, TimerService timers, PlatformOptions options) {
    this.clients = clients;
    this.timers = timers;
    this.options = options;
    this.budget = new CallBudget(timers, options.callsPerSecond());
    this.client = newClient();
  }

  private HttpClientAgent newClient() {
    HttpClientOptions client =
        new HttpClientOptions()
            .setConnectTimeout((int) options.timeout().toMillis())
            .setKeepAlive(false)
            .setTcpNoDelay(true)
            .setSsl(isHttps());
    PoolOptions pool =
        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(MAX_WAITING_CALLS);
    return clients.create(HttpClientKind.PLATFORM, client, pool, SINGLE_FIELDS);
  }

  /** Returns the call counters by kind. */
  public CallCounts counts() {
    return counts;
  }

  /** Makes a call to which the service responds without waiting. */
  public CompletableFuture<PlatformReply> call(
      CallKind kind, HttpMethod method, String uri, Buffer body) {
    return call(kind, method, uri, body, Duration.ZERO);
  }

  /** Makes a call whose response the service may delay by up to {@code wait}. */
  public CompletableFuture<PlatformReply> call(
      CallKind kind, HttpMethod method, String uri, Buffer body, Duration wait) {
    Optional<Duration> retryAfter = budget.tryAcquire();
    if (retryAfter.isPresent()) {
      counts.countOverBudget(kind);
      return CompletableFuture.completedFuture(
          new PlatformReply.NotSent("the rate limit of platform calls is exceeded", retryAfter));
    }
    counts.countSent(kind);
    HttpClientAgent used = client();
    PlatformCall call = new PlatformCall(body);
    Subscription deadline = timers.after(options.timeout().plus(wait), () -> expire(call, used));
    WaitingCall waitingCall = new WaitingCall(call, used);
    if (!wait.isZero()) {
      waiting.add(waitingCall);
    }
    CompletableFuture<PlatformReply> counted =
        call.reply()
            .thenApply(
                reply -> {
                  waiting.remove(waitingCall);
                  return end(kind, reply, deadline);
                });
    used.request(request(method, uri)).onComplete(call::onConnected);
    return counted;
  }

  /** Counts a completed call; runs before the future of the caller completes. */
  private PlatformReply end(CallKind kind, PlatformReply reply, Subscription deadline) {
    deadline.cancel();
    if (!(reply instanceof PlatformReply.Answered answered) || PlatformErrors.isError(answered)) {
      counts.countFailed(kind);
    }
    return reply;
  }

  private void expire(PlatformCall call, HttpClientAgent used) {
    replace(used);
    call.expire();
    for (WaitingCall waitingCall : waiting) {
      if (waitingCall.pool() == used) {
        waitingCall.call().expire();
      }
    }
  }

  private synchronized HttpClientAgent client() {
    return client;
  }

  /** Replaces the pool of a call that timed out, unless another call has already done so. */
  private synchronized void replace(HttpClientAgent used) {
    if (client == used) {
      client = newClient();
      used.shutdown(MAX_WATCH.toMillis(), TimeUnit.MILLISECONDS);
      logger.atWarning().log("event=platform_connections_replaced reason=\"no answer in time\"");
    }
  }

  private RequestOptions request(HttpMethod method, String uri) {
    RequestOptions request =
        new RequestOptions()
            .setMethod(method)
            .setHost(options.url().getHost())
            .setPort(port())
            .setURI(basePath() + uri);
    options
        .token()
        .ifPresent(
            token -> {
              String text = new String(token.bytes(), StandardCharsets.UTF_8);
              request.putHeader("Authorization", "Bearer " + text);
            });
    return request;
  }

  private boolean isHttps() {
    return "https".equals(options.url().getScheme());
  }

  private int port() {
    URI url = options.url();
    int defaultPort = isHttps() ? HTTPS_PORT : HTTP_PORT;
    return url.getPort() > 0 ? url.getPort() : defaultPort;
  }

  private String basePath() {
    String path = options.url().getPath();
    return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
  }

  @Override
  public synchronized void close() {
    client.close();
  }
}
