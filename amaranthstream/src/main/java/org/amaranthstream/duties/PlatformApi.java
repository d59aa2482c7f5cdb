package org.amaranthstream.duties;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.usage.WindowCounts;
import org.amaranthstream.weights.FencingTokenSource;

/**
 * The platform's API, which one daemon at a time calls.
 *
 * <p>The fencing token is issued right before a call is written to an open connection; without a
 * token the call is not sent. Futures never complete exceptionally.
 */
public interface PlatformApi {

  /** Reports the use of one window. */
  CompletableFuture<ApiReply> reportUsage(WindowCounts counts, FencingTokenSource fences);

  /** Returns true if a connection can be opened within {@code timeout}; makes no call. */
  CompletableFuture<Boolean> isReachable(Duration timeout);
}
