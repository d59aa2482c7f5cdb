package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Paging of results for callers. */
final class ResultPages {
  private ResultPages() {}

  /**
   * Returns the results from {@code position} on, with at most {@code maxBytes} of text in total
   * but at least one result if there is one.
   */
  static ImmutableList<ItemResult> limit(List<ItemResult> results, int position, int maxBytes) {
    ImmutableList.Builder<ItemResult> page = ImmutableList.builder();
    int bytes = 0;
    for (int i = Math.max(0, position); i < results.size(); i++) {
      bytes += results.get(i).text().length;
      if (bytes > maxBytes && i > position) {
        break;
      }
      page.add(results.get(i));
    }
    return page.build();
  }
}
