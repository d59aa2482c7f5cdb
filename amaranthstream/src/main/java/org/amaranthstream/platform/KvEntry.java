package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.Revision;

/**
 * An entry of the key-value service.
 *
 * @param key the key
 * @param value the bytes of the value; callers do not change them
 * @param revision the revision of the entry's last write
 */
@SuppressWarnings("ArrayRecordComponent")
public record KvEntry(String key, byte[] value, Revision revision) {

  /** Creates an entry. */
  public KvEntry {
    checkNotNull(key, "key");
    checkNotNull(value, "value");
    checkNotNull(revision, "revision");
  }
}
