package org.amaranthstream.platform;

import org.amaranthstream.ids.Revision;

/**
 * A listener for changes of a {@link PrefixMirror}.
 *
 * <p>The changes of one response of the store form a batch. A listener whose work depends on the
 * whole, and not on each entry, does it once in {@link #onBatchApplied}.
 */
public interface MirrorListener {
  /**
   * Called before the first change of a batch.
   *
   * @param revision the revision of the store up to which the batch contains all changes
   */
  default void onBatchStarted(Revision revision) {}

  /** Called after the last change of a batch. */
  default void onBatchApplied() {}

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
