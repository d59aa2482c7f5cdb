package org.amaranthstream.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.result.Result;

/** Handler of one kind of query. Called on the decision thread, which it must not block. */
@FunctionalInterface
public interface QueryHandler {
  /**
   * Handles a query.
   *
   * @param from the entry VM that sent the query
   * @param body the encoded query
   * @param timeout time after which the sender no longer waits for the response
   * @return a future of the encoded response; it never completes exceptionally
   */
  CompletableFuture<Result<byte[]>> handle(LocalVm from, byte[] body, Duration timeout);
}
