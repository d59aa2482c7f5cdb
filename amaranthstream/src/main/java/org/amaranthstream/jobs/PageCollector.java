package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/**
 * Collector of the results of a job from a position on, out of the pages of the store.
 *
 * <p>Not thread safe.
 */
final class PageCollector implements JobStore.PageVisitor {
  private final int position;
  private final int maxBytes;
  private final List<ItemResult> found = new ArrayList<>();
  private int visited;
  private int bytes;

  PageCollector(int position, int maxBytes) {
    this.position = position;
    this.maxBytes = maxBytes;
  }

  @Override
  public boolean visit(ImmutableList<ItemResult> page) {
    int first = Math.max(0, position - visited);
    for (ItemResult result : page.subList(Math.min(first, page.size()), page.size())) {
      found.add(result);
      bytes += result.text().length;
    }
    visited += page.size();
    return bytes < maxBytes;
  }

  /** Returns the number of results up to the last page that was visited. */
  int visited() {
    return visited;
  }

  /** Returns the results that fit in the maximum size, at least one if there is one. */
  ImmutableList<ItemResult> results() {
    return ResultPages.limit(found, 0, maxBytes);
  }
}
