package org.amaranthstream.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Registry of streams in the memory of one process. Bounded, so that the oldest streams are
 * forgotten first.
 *
 * <p>Not thread safe.
 */
public final class LocalStreamOrigins implements StreamOrigins {
  private static final int MAX_STREAMS = 32_768;

  private final Map<String, StreamOrigin> origins =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, StreamOrigin> eldest) {
          return size() > MAX_STREAMS;
        }
      };

  private LocalStreamOrigins() {}

  /** Returns an empty registry. */
  public static LocalStreamOrigins create() {
    return new LocalStreamOrigins();
  }

  @Override
  public void record(String request, StreamOrigin origin) {
    origins.put(checkNotNull(request, "request"), checkNotNull(origin, "origin"));
  }

  /** Returns the recorded origin, empty if the stream is unknown. */
  public Optional<StreamOrigin> find(String request) {
    return Optional.ofNullable(origins.get(request));
  }

  @Override
  public CompletableFuture<Optional<StreamOrigin>> find(String request, Duration timeout) {
    return CompletableFuture.completedFuture(find(request));
  }
}
