package org.amaranthstream.ingress;

import java.util.function.Consumer;
import org.amaranthstream.result.Result;

/** An issuer of the idempotency keys of this entry VM. Thread safe. */
@FunctionalInterface
public interface IdempotencyKeyIssuer {

  /** Issues a unique key and calls {@code consumer} exactly once with it or with an error. */
  void issue(Consumer<Result<String>> consumer);
}
