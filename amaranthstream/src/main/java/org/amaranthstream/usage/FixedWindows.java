package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.Revision;

/**
 * The windows whose counts are fixed in the store.
 *
 * @param revision the revision of the entry; 0 if there is none
 * @param last the last window that is fixed; no window up to it is counted anew
 * @param windows the counts that may still have to be sent, the oldest first
 */
record FixedWindows(Revision revision, long last, ImmutableList<WindowCounts> windows) {
  FixedWindows {
    checkNotNull(revision, "revision");
    checkNotNull(windows, "windows");
  }

  /** Returns the state before any window is fixed. */
  static FixedWindows none() {
    return new FixedWindows(Revision.of(0), -1, ImmutableList.of());
  }
}
