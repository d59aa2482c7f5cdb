package org.amaranthstream.rollout;

import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.result.Result;

/**
 * A client for the entry VMs that own steps. Forwarding to the owner avoids generating a step
 * twice; if two entry VMs own one step nevertheless, the delivery token prevents duplicates.
 *
 * <p>Used on the decision thread only. Each consumer is called exactly once on that thread. If a
 * peer does not respond, the consumer receives a failure with {@code PEER_UNREACHABLE} at most two
 * seconds after the pull's maximum wait.
 */
public interface OwnerLink {

  /** Returns true if requests can be forwarded to {@code vm}. */
  boolean isReachable(EntryVmId vm);

  /** Returns the entry VM that should own the steps of {@code trainer}, or empty for any. */
  Optional<EntryVmId> preferredOwner(TrainerId trainer);

  /** Submits a step to {@code vm}, which calls {@link RolloutService#submitForwarded}. */
  void submit(EntryVmId vm, StepId step, StepSpec spec, Consumer<Result<StepAccepted>> consumer);

  /** Sends a pull to {@code vm}, which calls {@link RolloutService#pullForwarded}. */
  void pull(EntryVmId vm, PullRequest request, Consumer<Result<Page>> consumer);

  /** Returns the link of an entry VM without peers. */
  static OwnerLink none() {
    return NoOwnerLink.INSTANCE;
  }
}
