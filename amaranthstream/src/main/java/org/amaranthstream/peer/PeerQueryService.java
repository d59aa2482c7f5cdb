package org.amaranthstream.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Service that sends queries to other entry VMs and registers the handlers of received ones.
 *
 * <p>The code of a failure shows whether the query was sent. {@link ResultCode#PEER_UNREACHABLE}
 * and {@link ResultCode#NOT_RUN_QUEUE_FULL} mean that it was not passed to a link. {@link
 * ResultCode#OUTCOME_UNKNOWN_PEER_LOST} and {@link ResultCode#OUTCOME_UNKNOWN_DEADLINE} mean that
 * the other entry VM may have processed it. Any other code is the response of the other entry VM.
 *
 * <p>Thread safe.
 */
public interface PeerQueryService {
  /**
   * Sends a query to {@code to}, which may be the local entry VM.
   *
   * @param timeout longest time to wait for the response
   * @return a future that never completes exceptionally. It completes on the decision thread,
   *     unless the queue of that thread is full
   */
  CompletableFuture<Result<byte[]>> query(
      EntryVmId to, QueryKind kind, byte[] body, Duration timeout);

  /**
   * Registers the handler of the queries of {@code kind} that this process receives.
   *
   * @throws IllegalStateException if {@code kind} already has a handler
   */
  void register(QueryKind kind, QueryHandler handler);

  /** Returns true if the failure {@code error} means that the query was not sent. */
  static boolean isNotSent(ResultCode error) {
    return error == ResultCode.PEER_UNREACHABLE || error == ResultCode.NOT_RUN_QUEUE_FULL;
  }
}
