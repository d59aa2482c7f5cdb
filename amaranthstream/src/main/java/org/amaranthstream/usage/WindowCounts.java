package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSortedMap;
import org.amaranthstream.ids.WorkspaceId;

/**
 * The requests that began in one window.
 *
 * @param window the number of the window
 * @param requests the number of requests by workspace; a workspace without requests is missing
 */
public record WindowCounts(long window, ImmutableSortedMap<WorkspaceId, Long> requests) {

  /** Creates counts. */
  public WindowCounts {
    checkNotNull(requests, "requests");
  }

  /** Returns the number of requests of all workspaces. */
  public long total() {
    return requests.values().stream().mapToLong(Long::longValue).sum();
  }
}
