package org.amaranthstream.platform;

import org.amaranthstream.ids.Revision;

/** A change of one entry. */
public sealed interface KvChange {

  /** Returns the key of the entry. */
  String key();

  /** Returns the revision of the change. */
  Revision revision();

  /**
   * The entry was written.
   *
   * @param entry the entry as it was written
   */
  record Put(KvEntry entry) implements KvChange {
    @Override
    public String key() {
      return entry.key();
    }

    @Override
    public Revision revision() {
      return entry.revision();
    }
  }

  /**
   * The entry was removed.
   *
   * @param key the key of the entry
   * @param revision the revision of the removal
   */
  record Removed(String key, Revision revision) implements KvChange {}
}
