package org.amaranthstream.weights;

import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;
import org.amaranthstream.servers.TrackedServer;

/** Speaks to engines about their weights. Futures never complete exceptionally. */
public interface SwapTransport {

  /** Asks an engine for its state. */
  CompletableFuture<Result<ServerReport>> report(TrackedServer server);

  /**
   * Sends an order.
   *
   * @param fencingTokens asked right before the order is written; if it refuses, nothing is sent
   */
  CompletableFuture<SwapReply> order(
      TrackedServer server, SwapRequest request, FencingTokenSource fencingTokens);
}
