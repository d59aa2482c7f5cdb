package org.amaranthstream.daemon;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.config.AppliedConfig;
import org.amaranthstream.config.ConfigKeeper;
import org.amaranthstream.daemon.wire.ConfigReply;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.peer.PeerQueryService;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.jspecify.annotations.Nullable;

/** Fetches the configuration of peers that have a newer one in force. Decision thread only. */
final class ConfigFetch {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final byte[] EMPTY = new byte[0];

  private final ConfigKeeper keeper;
  private final Set<EntryVmId> open = new HashSet<>();
  private @Nullable PeerQueryService queries;

  ConfigFetch(ConfigKeeper keeper) {
    this.keeper = keeper;
  }

  /** Sets the links, and answers the fetches of peers from now on. */
  void attach(PeerQueryService queries) {
    this.queries = queries;
    queries.register(
        QueryKind.CONFIG_FETCH,
        (from, body, timeout) -> CompletableFuture.completedFuture(answer()));
  }

  private Result<byte[]> answer() {
    AppliedConfig applied = keeper.applied();
    return Result.success(
        ConfigReply.newBuilder()
            .setGeneration(applied.config().generation().value())
            .setYaml(applied.yaml())
            .build()
            .toByteArray());
  }

  /** Fetches the configuration of {@code peer} unless that is under way. */
  void fetch(EntryVmId peer) {
    if (queries != null && open.add(peer)) {
      queries
          .query(peer, QueryKind.CONFIG_FETCH, EMPTY, TIMEOUT)
          .thenAccept(reply -> take(peer, reply));
    }
  }

  private void take(EntryVmId peer, Result<byte[]> reply) {
    open.remove(peer);
    if (read(reply) instanceof Result.Success<ConfigReply> success) {
      ConfigReply config = success.value();
      keeper.offer(ConfigGeneration.of(config.getGeneration()), config.getYaml());
    }
  }

  private static Result<ConfigReply> read(Result<byte[]> reply) {
    if (reply instanceof Result.Failure<byte[]> failure) {
      return Result.failure(failure.error());
    }
    try {
      return Result.success(ConfigReply.parseFrom(((Result.Success<byte[]>) reply).value()));
    } catch (InvalidProtocolBufferException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "reply: " + e.getMessage());
    }
  }
}
