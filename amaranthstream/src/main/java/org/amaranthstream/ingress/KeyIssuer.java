package org.amaranthstream.ingress;

/** Issues idempotency keys of this entry VM. Thread safe. */
@FunctionalInterface
public interface KeyIssuer {

  /** Returns a key that was not issued before. */
  String issue();
}
