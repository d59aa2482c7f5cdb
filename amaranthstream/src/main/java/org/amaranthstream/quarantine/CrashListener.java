package org.amaranthstream.quarantine;

/** Listener for changes of the crashes that a {@link PoisonRegistry} holds. */
@FunctionalInterface
public interface CrashListener {

  /** Called when a crash was recorded for content, or content was cleared of its crashes. */
  void onCrashesChanged();
}
