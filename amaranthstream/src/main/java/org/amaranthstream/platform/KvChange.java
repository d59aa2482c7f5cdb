package org.amaranthstream.platform;

import org.amaranthstream.ids.Revision;

/** A change to one entry of the store. */
public sealed interface KvChange {

  /** Returns the key of the entry. */
  String key();

  /** Returns the revision of the change. */
  Revision revision();

  /**
   * A write of the entry.
   *
   * @param entry the written entry
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
   * A removal of the entry.
   *
   * @param key the key of the entry
   * @param revision the revision of the removal
   */
  record Removed(String key, Revision revision) implements KvChange {}
}
