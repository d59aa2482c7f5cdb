package org.amaranthstream.quarantine;

/** Listener for crashes that a {@link PoisonRegistry} records. */
@FunctionalInterface
public interface CrashListener {

  /** Called when content was in flight at a crash that was not recorded for it before. */
  void onCrashRecorded();
}
