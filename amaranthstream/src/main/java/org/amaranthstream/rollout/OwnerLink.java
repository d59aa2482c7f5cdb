package org.amaranthstream.rollout;

import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.result.Result;

/**
 * Calls to the entry VM that owns a step. It saves generating a step twice; the delivery token
 * keeps it safe when two entry VMs own one step.
 *
 * <p>Called on the decision thread, and consumers are called there, each exactly once. A peer that
 * does not answer is a failure with {@code PEER_UNREACHABLE}, at the latest two seconds after the
 * pull's own wait.
 */
public interface OwnerLink {

  /** Returns true if {@code vm} answered lately. */
  boolean isReachable(EntryVmId vm);

  /** Returns the entry VM that all steps of {@code trainer} should go to, empty for any. */
  Optional<EntryVmId> preferredOwner(TrainerId trainer);

  /** Submits a step at {@code vm}, by {@link RolloutService#submitForwarded} there. */
  void submit(EntryVmId vm, StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer);

  /** Pulls at {@code vm}, by {@link RolloutService#pullForwarded} there. */
  void pull(EntryVmId vm, PullRequest request, Consumer<Result<Page>> consumer);

  /** Returns a link of an entry VM without peers. */
  static OwnerLink none() {
    return NoOwnerLink.INSTANCE;
  }
}
