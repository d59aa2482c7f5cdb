package org.amaranthstream.platform;

/** Hears of the changes of a {@link PrefixMirror}. */
public interface MirrorListener {

  /** An entry is new or was written. */
  void onPut(KvEntry entry);

  /** An entry is gone. */
  void onRemoved(String key);

  /** The mirror has caught up with the store after a start or an outage. */
  default void onCaughtUp() {}

  /** The store cannot be reached; what is known grows old. */
  default void onStoreUnavailable() {}
}
