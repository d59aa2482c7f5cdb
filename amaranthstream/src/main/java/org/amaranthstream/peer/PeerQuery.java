package org.amaranthstream.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Questions between entry VMs. Thread safe.
 *
 * <p>The code of a failure tells whether the question was asked: {@link
 * ResultCode#PEER_UNREACHABLE} and {@link ResultCode#NOT_RUN_QUEUE_FULL} mean that nothing was
 * handed to a link; {@link ResultCode#OUTCOME_UNKNOWN_PEER_LOST} and {@link
 * ResultCode#OUTCOME_UNKNOWN_DEADLINE} mean that it may have been answered or acted upon. Any other
 * code is the other entry VM's own answer.
 */
public interface PeerQuery {
  /**
   * Asks {@code to}, which may be this entry VM itself.
   *
   * @return a future that completes on the decision thread and never exceptionally
   */
  CompletableFuture<Result<byte[]>> query(
      EntryVmId to, QueryKind kind, byte[] body, Duration timeout);

  /** Sets who answers the queries of {@code kind} that this process receives. */
  void register(QueryKind kind, QueryHandler handler);

  /** Returns true if {@code error} of a query means that it was not sent. */
  static boolean isNotSent(ResultCode error) {
    return error == ResultCode.PEER_UNREACHABLE || error == ResultCode.NOT_RUN_QUEUE_FULL;
  }
}
