package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.amaranthstream.fleet.wire.StoreAnswer;
import org.amaranthstream.fleet.wire.StoreCall;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * A handler of store calls from daemons that cannot reach the store. Calls are made on the direct
 * store client only and never relayed again, so a call passes through at most one daemon.
 *
 * <p>Not thread safe: used on one thread.
 */
public final class StoreRelay {
  private final TransactionalStore direct;
  private final BooleanSupplier isUnavailable;

  private StoreRelay(TransactionalStore direct, BooleanSupplier isUnavailable) {
    this.direct = direct;
    this.isUnavailable = isUnavailable;
  }

  /**
   * Returns a relay.
   *
   * @param direct the client that connects to the store directly
   * @param isUnavailable returns true while the store is unavailable to this daemon
   */
  public static StoreRelay create(TransactionalStore direct, BooleanSupplier isUnavailable) {
    return new StoreRelay(
        checkNotNull(direct, "direct"), checkNotNull(isUnavailable, "isUnavailable"));
  }

  /** Registers this relay as the handler of store calls from peers. */
  public void serve(FleetLinks links) {
    links.register(
        QueryKind.STORE_CALL, (LocalVm from, byte[] body, Duration timeout) -> handle(body));
  }

  CompletableFuture<Result<byte[]>> handle(byte[] body) {
    if (isUnavailable.getAsBoolean()) {
      return CompletableFuture.completedFuture(
          Result.failure(
              ResultCode.PLATFORM_UNAVAILABLE, "the store is unavailable to this daemon too"));
    }
    try {
      return call(StoreCall.parseFrom(body))
          .thenApply(response -> Result.success(response.toByteArray()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.INVALID_REQUEST, "malformed store call: " + e));
    }
  }

  private CompletableFuture<StoreAnswer> call(StoreCall call) {
    return switch (call.getBodyCase()) {
      case GET -> direct.get(call.getGet()).thenApply(StoreCallCodec::encodeEntry);
      case RANGE ->
          direct
              .range(call.getRange().getPrefix(), call.getRange().getAfter())
              .thenApply(StoreCallCodec::encodePage);
      case WATCH ->
          direct
              .watch(
                  call.getWatch().getPrefix(),
                  Revision.of(call.getWatch().getAfter()),
                  Duration.ofMillis(call.getWatch().getWaitMs()))
              .thenApply(StoreCallCodec::encodeWatch);
      case TRANSACTION ->
          direct
              .transact(StoreCallCodec.decodeCall(call.getTransaction()))
              .thenApply(StoreCallCodec::encodeTransaction);
      case GRANT_TTL_MS ->
          direct
              .grantLease(Duration.ofMillis(call.getGrantTtlMs()))
              .thenApply(StoreCallCodec::encodeGrant);
      case RENEW_LEASE ->
          direct
              .renewLease(LeaseId.of(call.getRenewLease()))
              .thenApply(StoreCallCodec::encodeRenewal);
      case END_LEASE ->
          direct.endLease(LeaseId.of(call.getEndLease())).thenApply(StoreCallCodec::encodeEnd);
      case BODY_NOT_SET ->
          CompletableFuture.completedFuture(
              StoreAnswer.newBuilder().setNotDone("the store call has no body").build());
    };
  }
}
