package org.amaranthstream.daemon;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.membership.EntryVmView;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.membership.Reachability;
import org.amaranthstream.membership.VmPhase;
import org.amaranthstream.peer.PeerQueryService;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.rollout.OwnerLink;
import org.amaranthstream.rollout.Page;
import org.amaranthstream.rollout.PullRequest;
import org.amaranthstream.rollout.RolloutService;
import org.amaranthstream.rollout.StepAccepted;
import org.amaranthstream.rollout.StepSpec;
import org.amaranthstream.rollout.wire.OwnerRequest;

/**
 * A client that sends queries over peer links to the owners of training steps. Used on the decision
 * thread only.
 */
final class PeerOwnerLink implements OwnerLink {
  private static final Duration RESPONSE_MARGIN = Duration.ofMillis(1500);

  private final MembershipTable table;
  private final PeerQueryService queries;

  PeerOwnerLink(MembershipTable table, PeerQueryService queries) {
    this.table = table;
    this.queries = queries;
  }

  /** Registers the handler that passes queries of other entry VMs to {@code rollout}. */
  void registerHandler(RolloutService rollout) {
    queries.register(QueryKind.PULL_STEP, (from, body, timeout) -> handleQuery(rollout, body));
  }

  @Override
  public boolean isReachable(EntryVmId vm) {
    return table.entryVm(vm).filter(PeerOwnerLink::isAvailable).isPresent();
  }

  private static boolean isAvailable(EntryVmView view) {
    return view.reachability() == Reachability.REACHABLE && view.phase() == VmPhase.READY;
  }

  @Override
  public Optional<EntryVmId> preferredOwner(TrainerId trainer) {
    return PreferredOwner.of(trainer, table);
  }

  @Override
  public void submit(
      EntryVmId vm, StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer) {
    sendQuery(
        vm,
        StepOwnerCodec.encodeSubmission(step, spec),
        RESPONSE_MARGIN,
        StepOwnerCodec::decodeAccepted,
        consumer);
  }

  @Override
  public void pull(EntryVmId vm, PullRequest request, Consumer<Result<Page>> consumer) {
    Duration timeout = request.maxWait().plus(RESPONSE_MARGIN);
    sendQuery(
        vm, StepOwnerCodec.encodePull(request), timeout, StepOwnerCodec::decodePage, consumer);
  }

  private <T> void sendQuery(
      EntryVmId vm,
      byte[] body,
      Duration timeout,
      ResponseDecoder<T> decoder,
      Consumer<Result<T>> consumer) {
    queries
        .query(vm, QueryKind.PULL_STEP, body, timeout)
        .thenAccept(response -> consumer.accept(decodeResponse(vm, response, decoder)));
  }

  private static <T> Result<T> decodeResponse(
      EntryVmId vm, Result<byte[]> response, ResponseDecoder<T> decoder) {
    if (response instanceof Result.Failure<byte[]> failure) {
      return isResponseLost(failure.error().code())
          ? Result.failure(ResultCode.PEER_UNREACHABLE, failure.error().message())
          : Result.failure(failure.error());
    }
    try {
      return Result.success(decoder.decode(((Result.Success<byte[]>) response).value()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Result.failure(
          ResultCode.PEER_UNREACHABLE, vm + " sent an invalid response: " + e.getMessage());
    }
  }

  /**
   * Returns true if the response was lost. Pulls and submissions may be repeated, so a lost
   * response is treated like an unreachable peer.
   */
  private static boolean isResponseLost(ResultCode code) {
    return code == ResultCode.OUTCOME_UNKNOWN_PEER_LOST
        || code == ResultCode.OUTCOME_UNKNOWN_DEADLINE;
  }

  private static CompletableFuture<Result<byte[]>> handleQuery(
      RolloutService rollout, byte[] body) {
    CompletableFuture<Result<byte[]>> response = new CompletableFuture<>();
    try {
      OwnerRequest request = OwnerRequest.parseFrom(body);
      StepId step = StepOwnerCodec.decodeStep(request);
      if (request.hasSubmission()) {
        rollout.submitForwarded(
            step,
            StepOwnerCodec.decodeSpec(request.getSubmission()),
            result -> response.complete(result.map(StepOwnerCodec::encodeAccepted)));
      } else {
        rollout.pullForwarded(
            StepOwnerCodec.decodePull(step, request.getPull()),
            result -> response.complete(result.map(StepOwnerCodec::encodePage)));
      }
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      response.complete(
          Result.failure(ResultCode.INVALID_REQUEST, "invalid query: " + e.getMessage()));
    }
    return response;
  }

  private interface ResponseDecoder<T> {
    T decode(byte[] bytes) throws InvalidProtocolBufferException;
  }
}
