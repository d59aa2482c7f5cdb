package org.amaranthstream.membership;

import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;

/** Source of the load of backend servers. Thread safe; futures never complete exceptionally. */
@FunctionalInterface
public interface LoadSource {
  /** Requests the load of {@code server} once; the future completes within a bounded time. */
  CompletableFuture<Result<LoadReport>> poll(BackendServer server);
}
