package org.amaranthstream.ingress;

import java.util.function.Consumer;
import org.amaranthstream.result.Result;

/** Issues idempotency keys of this entry VM. Thread safe. */
@FunctionalInterface
public interface KeyIssuer {

  /** Gives a key that was not issued before to {@code consumer}, exactly once. */
  void issue(Consumer<Result<String>> consumer);
}
