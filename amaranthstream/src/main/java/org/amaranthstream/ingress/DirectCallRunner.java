package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.CallerId;

/** A runner of idempotent calls, which does not claim their idempotency keys. */
public final class DirectCallRunner implements CallRunner {
  private final WorkRunner runner;

  private DirectCallRunner(WorkRunner runner) {
    this.runner = checkNotNull(runner, "runner");
  }

  /** Returns a call runner that submits all work to {@code runner}. */
  public static DirectCallRunner of(WorkRunner runner) {
    return new DirectCallRunner(runner);
  }

  @Override
  public void run(
      CallerId caller, Optional<String> idempotencyKey, Work work, WorkListener listener) {
    runner.submit(work, listener);
  }
}
