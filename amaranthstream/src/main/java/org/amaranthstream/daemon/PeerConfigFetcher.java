package org.amaranthstream.daemon;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.config.AppliedConfig;
import org.amaranthstream.config.ConfigManager;
import org.amaranthstream.daemon.wire.ConfigReply;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.peer.PeerQueryService;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * A fetcher of the active configuration of peers that have a newer one. Used on the decision thread
 * only.
 */
final class PeerConfigFetcher {
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(3);
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ConfigManager manager;
  private final Set<EntryVmId> inProgress = new HashSet<>();
  private @Nullable PeerQueryService queries;

  PeerConfigFetcher(ConfigManager manager) {
    this.manager = manager;
  }

  /** Sets the sender of queries and registers the handler of peers' fetches. */
  void attach(PeerQueryService queries) {
    this.queries = queries;
    queries.register(
        QueryKind.CONFIG_FETCH,
        (from, body, timeout) -> CompletableFuture.completedFuture(currentConfig()));
  }

  private Result<byte[]> currentConfig() {
    AppliedConfig applied = manager.applied();
    return Result.success(
        ConfigReply.newBuilder()
            .setGeneration(applied.config().generation().value())
            .setYaml(applied.yaml())
            .build()
            .toByteArray());
  }

  /** Fetches the configuration of {@code peer} unless a fetch from it is in progress. */
  void fetch(EntryVmId peer) {
    if (queries != null && inProgress.add(peer)) {
      queries
          .query(peer, QueryKind.CONFIG_FETCH, EMPTY_BODY, QUERY_TIMEOUT)
          .thenAccept(response -> onResponse(peer, response));
    }
  }

  private void onResponse(EntryVmId peer, Result<byte[]> response) {
    inProgress.remove(peer);
    if (parseResponse(response) instanceof Result.Success<ConfigReply> success) {
      ConfigReply config = success.value();
      manager.applyFromPeer(ConfigGeneration.of(config.getGeneration()), config.getYaml());
    }
  }

  private static Result<ConfigReply> parseResponse(Result<byte[]> response) {
    if (response instanceof Result.Failure<byte[]> failure) {
      return Result.failure(failure.error());
    }
    try {
      return Result.success(ConfigReply.parseFrom(((Result.Success<byte[]>) response).value()));
    } catch (InvalidProtocolBufferException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "invalid response: " + e.getMessage());
    }
  }
}
