package org.amaranthstream.standins;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;

/** Blocking HTTP client of the tests, with a timeout of 10 s for each call. Thread safe. */
public final class TestHttpClient implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final BlockingHttpClient http = new BlockingHttpClient(Optional.empty());

  /** Sends a GET request and waits for the response. */
  public HttpResponse get(String url) throws IOException {
    return http.call(HttpMethod.GET, url, "", TIMEOUT);
  }

  /** Sends a POST request and waits for the response. */
  public HttpResponse post(String url, String body) throws IOException {
    return http.call(HttpMethod.POST, url, body, TIMEOUT);
  }

  /** Sends a PUT request and waits for the response. */
  public HttpResponse put(String url, String body) throws IOException {
    return http.call(HttpMethod.PUT, url, body, TIMEOUT);
  }

  /** Sends a request from another thread and returns the future response. */
  public CompletableFuture<HttpResponse> callAsync(HttpMethod method, String url, String body) {
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
