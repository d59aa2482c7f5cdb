package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.Revision;

/**
 * An entry of the key-value service.
 *
 * @param key the key
 * @param value the bytes of the value, which callers must not modify; none if the service returned
 *     a value that cannot be read, which is not a removal
 * @param revision the revision of the last write to the entry
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
