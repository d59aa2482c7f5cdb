package org.amaranthstream.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.result.Result;

/** Answers one kind of query. Called on the decision thread; must not block it. */
@FunctionalInterface
public interface QueryHandler {
  /**
   * Answers a query.
   *
   * @param from the entry VM that asks
   * @param body the question
   * @param timeout time after which the answer is not waited for any more
   * @return a future that never completes exceptionally
   */
  CompletableFuture<Result<byte[]>> handle(LocalVm from, byte[] body, Duration timeout);
}
