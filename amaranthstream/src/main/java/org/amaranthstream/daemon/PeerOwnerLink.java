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

/** Reaches the owners of training steps by queries on the peer links. Decision thread only. */
final class PeerOwnerLink implements OwnerLink {
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(1500);

  private final MembershipTable table;
  private final PeerQueryService queries;

  PeerOwnerLink(MembershipTable table, PeerQueryService queries) {
    this.table = table;
    this.queries = queries;
  }

  /** Answers the queries of other entry VMs from {@code rollout}. */
  void serve(RolloutService rollout) {
    queries.register(QueryKind.PULL_STEP, (from, body, timeout) -> answer(rollout, body));
  }

  @Override
  public boolean isReachable(EntryVmId vm) {
    return table.entryVm(vm).filter(PeerOwnerLink::isOwnerable).isPresent();
  }

  private static boolean isOwnerable(EntryVmView view) {
    return view.reachability() == Reachability.REACHABLE && view.phase() == VmPhase.READY;
  }

  @Override
  public Optional<EntryVmId> preferredOwner(TrainerId trainer) {
    return TrainerHome.of(trainer, table);
  }

  @Override
  public void submit(
      EntryVmId vm, StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer) {
    ask(vm, OwnerCodec.submission(step, spec), ANSWER_MARGIN, OwnerCodec::acceptedOf, consumer);
  }

  @Override
  public void pull(EntryVmId vm, PullRequest request, Consumer<Result<Page>> consumer) {
    Duration timeout = request.maxWait().plus(ANSWER_MARGIN);
    ask(vm, OwnerCodec.pull(request), timeout, OwnerCodec::pageOf, consumer);
  }

  private <T> void ask(
      EntryVmId vm, byte[] body, Duration timeout, Reader<T> reader, Consumer<Result<T>> consumer) {
    queries
        .query(vm, QueryKind.PULL_STEP, body, timeout)
        .thenAccept(reply -> consumer.accept(read(vm, reply, reader)));
  }

  private static <T> Result<T> read(EntryVmId vm, Result<byte[]> reply, Reader<T> reader) {
    if (reply instanceof Result.Failure<byte[]> failure) {
      return isLost(failure.error().code())
          ? Result.failure(ResultCode.PEER_UNREACHABLE, failure.error().message())
          : Result.failure(failure.error());
    }
    try {
      return Result.success(reader.read(((Result.Success<byte[]>) reply).value()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Result.failure(
          ResultCode.PEER_UNREACHABLE, vm + " answered unreadably: " + e.getMessage());
    }
  }

  /** A pull and a submission may be made twice, so a lost answer counts as an absent peer. */
  private static boolean isLost(ResultCode code) {
    return code == ResultCode.OUTCOME_UNKNOWN_PEER_LOST
        || code == ResultCode.OUTCOME_UNKNOWN_DEADLINE;
  }

  private static CompletableFuture<Result<byte[]>> answer(RolloutService rollout, byte[] body) {
    CompletableFuture<Result<byte[]>> reply = new CompletableFuture<>();
    try {
      OwnerRequest request = OwnerRequest.parseFrom(body);
      StepId step = OwnerCodec.stepOf(request);
      if (request.hasSubmission()) {
        rollout.submitForwarded(
            step,
            OwnerCodec.specOf(request.getSubmission()),
            result -> reply.complete(result.map(OwnerCodec::encodeAccepted)));
      } else {
        rollout.pullForwarded(
            OwnerCodec.pullOf(step, request.getPull()),
            result -> reply.complete(result.map(OwnerCodec::encodePage)));
      }
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      reply.complete(Result.failure(ResultCode.INVALID_REQUEST, "query: " + e.getMessage()));
    }
    return reply;
  }

  private interface Reader<T> {
    T read(byte[] bytes) throws InvalidProtocolBufferException;
  }
}
