package org.amaranthstream.platform;

/** A listener for changes of a {@link PrefixMirror}. */
public interface MirrorListener {

  /** Called when an entry was created or overwritten. */
  void onPut(KvEntry entry);

  /** Called when an entry was removed. */
  void onRemoved(String key);

  /** Called when the mirror has caught up with the store after the start or an outage. */
  default void onCaughtUp() {}

  /**
   * Called when the store becomes unavailable; the mirrored entries may be outdated from now on.
   */
  default void onStoreUnavailable() {}
}
