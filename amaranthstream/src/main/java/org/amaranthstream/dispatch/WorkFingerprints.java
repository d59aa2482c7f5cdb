package org.amaranthstream.dispatch;

import org.amaranthstream.quarantine.Fingerprint;

/** Fingerprints of work. The sampling seed and the token limit are not included. */
final class WorkFingerprints {
  private WorkFingerprints() {}

  /** Returns the fingerprint of the pool and payload of {@code work}. */
  static Fingerprint of(Work work) {
    String pool = work.pool().value();
    if (work.payload() instanceof Payload.Generate generate) {
      return Fingerprint.ofPrompt(pool, generate.prompt());
    }
    Payload.Call call = (Payload.Call) work.payload();
    return Fingerprint.ofCall(pool, call.path(), call.body());
  }
}
