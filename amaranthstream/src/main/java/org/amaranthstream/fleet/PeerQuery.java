package org.amaranthstream.fleet;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;

/** Client for queries to other daemons. */
@FunctionalInterface
public interface PeerQuery {
  /** Sends a query; the future never completes exceptionally. */
  CompletableFuture<Result<byte[]>> query(
      EntryVmId to, QueryKind kind, byte[] body, Duration timeout);
}
