package org.amaranthstream.rollout;

import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** The link of an entry VM without peers, on which every request fails. */
final class NoOwnerLink implements OwnerLink {
  static final NoOwnerLink INSTANCE = new NoOwnerLink();

  private NoOwnerLink() {}

  @Override
  public boolean isReachable(EntryVmId vm) {
    return false;
  }

  @Override
  public Optional<EntryVmId> preferredOwner(TrainerId trainer) {
    return Optional.empty();
  }

  @Override
  public void submit(
      EntryVmId vm, StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer) {
    consumer.accept(unreachable(vm));
  }

  @Override
  public void pull(EntryVmId vm, PullRequest request, Consumer<Result<Page>> consumer) {
    consumer.accept(unreachable(vm));
  }

  private static <T> Result<T> unreachable(EntryVmId vm) {
    return Result.failure(ResultCode.PEER_UNREACHABLE, "no link to entry VM " + vm);
  }
}
