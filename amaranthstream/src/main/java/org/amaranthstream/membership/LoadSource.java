package org.amaranthstream.membership;

import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;

/** Asks a backend server for its load. Thread safe; futures never complete exceptionally. */
@FunctionalInterface
public interface LoadSource {
  /** Asks {@code server} once; the answer comes within a bounded time. */
  CompletableFuture<Result<LoadReport>> poll(BackendServer server);
}
