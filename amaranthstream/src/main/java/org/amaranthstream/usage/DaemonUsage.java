package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * The counts of one incarnation of a daemon.
 *
 * @param sequence greater for later counts, which replace earlier ones of the same window
 * @param windows the counts since the start of the daemon, by window
 */
public record DaemonUsage(
    EntryVmId vm, Incarnation incarnation, long sequence, ImmutableList<WindowCounts> windows) {

  /** Creates counts. */
  public DaemonUsage {
    checkNotNull(vm, "vm");
    checkNotNull(incarnation, "incarnation");
    checkNotNull(windows, "windows");
  }
}
