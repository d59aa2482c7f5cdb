package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.memory.Reservation;

/**
 * Cache of the pages of listed results that were used last. All of them are in the store too.
 *
 * <p>Not thread safe.
 */
final class ResultCache implements MemoryBudget.Cache {
  /** The part of the memory budget that cached results may take. */
  private static final int BUDGET_PARTS = 8;

  /** Bytes that a result takes besides its text. */
  private static final int RESULT_OVERHEAD_BYTES = 200;

  private final Reservation memory;
  private final long maxBytes;

  /** Sizes of the cached pages in bytes, in the order of their last use. */
  private final Map<ListedPage, Long> sizes = new LinkedHashMap<>(16, 0.75f, true);

  ResultCache(MemoryBudget budget) {
    this.memory = budget.open();
    this.maxBytes = budget.capacityBytes() / BUDGET_PARTS;
    budget.addCache(this);
  }

  /** Returns the memory that results take. */
  static long bytesOf(ItemResult result) {
    return result.text().length + RESULT_OVERHEAD_BYTES;
  }

  /** Caches the results of a page, unless there is no room for them. */
  void put(ListedPage page, ImmutableList<ItemResult> results) {
    remove(page);
    long bytes = results.stream().mapToLong(ResultCache::bytesOf).sum();
    if (memory.bytes() + bytes > maxBytes) {
      evict(memory.bytes() + bytes - maxBytes);
    }
    if (bytes <= maxBytes && memory.tryGrow(bytes)) {
      sizes.put(page, bytes);
      page.setCached(results);
    }
  }

  /** Records that a page was used, so that it is evicted later. */
  void touch(ListedPage page) {
    sizes.get(page);
  }

  /** Removes a page, if it is cached. */
  void remove(ListedPage page) {
    Long bytes = sizes.remove(page);
    if (bytes != null) {
      page.setCached(null);
      memory.shrink(bytes);
    }
  }

  @Override
  public void evict(long bytes) {
    long freed = 0;
    Iterator<Map.Entry<ListedPage, Long>> eldest = sizes.entrySet().iterator();
    while (freed < bytes && eldest.hasNext()) {
      Map.Entry<ListedPage, Long> page = eldest.next();
      eldest.remove();
      page.getKey().setCached(null);
      freed += page.getValue();
    }
    memory.shrink(freed);
  }
}
