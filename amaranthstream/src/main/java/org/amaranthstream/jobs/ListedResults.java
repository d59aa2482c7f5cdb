package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Index of the listed results of a job: the pages in which the store keeps them.
 *
 * <p>The results themselves are in the store and, while there is memory, in the {@link
 * ResultCache}. Not thread safe.
 */
final class ListedResults {
  private final List<ListedPage> pages = new ArrayList<>();
  private int size;

  /** Returns the number of results. */
  int size() {
    return size;
  }

  /** Adds a page of {@code count} results, and returns it. */
  ListedPage add(int count) {
    ListedPage page = new ListedPage(size, count);
    pages.add(page);
    size += count;
    return page;
  }

  /** Returns the page that contains the result at {@code position}, empty if none does. */
  Optional<ListedPage> pageAt(int position) {
    if (position < 0 || position >= size) {
      return Optional.empty();
    }
    int low = 0;
    int high = pages.size() - 1;
    while (low < high) {
      int middle = (low + high + 1) / 2;
      if (pages.get(middle).position() <= position) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return Optional.of(pages.get(low));
  }

  /** Returns all pages. */
  ImmutableList<ListedPage> pages() {
    return ImmutableList.copyOf(pages);
  }
}
