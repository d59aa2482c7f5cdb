package org.amaranthstream.weights;

import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;
import org.amaranthstream.servers.TrackedServer;

/**
 * Client for the weight reports and swap orders of engines. Futures never complete exceptionally.
 */
public interface SwapTransport {

  /** Requests the report of an engine. */
  CompletableFuture<Result<ServerReport>> report(TrackedServer server);

  /**
   * Sends a swap order.
   *
   * @param fencingTokens queried right before the order is written; without a token, nothing is
   *     sent
   */
  CompletableFuture<SwapReply> order(
      TrackedServer server, SwapRequest request, FencingTokenSource fencingTokens);
}
