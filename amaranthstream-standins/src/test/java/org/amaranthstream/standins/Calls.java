package org.amaranthstream.standins;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;

/** HTTP calls of tests. */
public final class Calls implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final BlockingHttpClient http = new BlockingHttpClient(Optional.empty());

  /** Makes a GET and waits for its answer. */
  public HttpResponse get(String url) throws IOException {
    return http.call(HttpMethod.GET, url, "", TIMEOUT);
  }

  /** Makes a POST and waits for its answer. */
  public HttpResponse post(String url, String body) throws IOException {
    return http.call(HttpMethod.POST, url, body, TIMEOUT);
  }

  /** Makes a PUT and waits for its answer. */
  public HttpResponse put(String url, String body) throws IOException {
    return http.call(HttpMethod.PUT, url, body, TIMEOUT);
  }

  /** Starts a call and gives its answer later. */
  public CompletableFuture<HttpResponse> later(HttpMethod method, String url, String body) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return http.call(method, url, body, TIMEOUT);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @Override
  public void close() {
    http.close();
  }
}
