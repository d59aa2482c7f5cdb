package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;

/**
 * Reader of the listed results of owned jobs, from the cache or else from the store. Used on one
 * thread.
 */
final class ResultReader {
  private final JobStore store;
  private final ResultCache cache;

  ResultReader(JobStore store, ResultCache cache) {
    this.store = store;
    this.cache = cache;
  }

  /**
   * Returns the results from {@code position} on that fit in {@code maxBytes}, at least one if
   * there is one. Results after a page that is not cached are left to the next read.
   */
  CompletableFuture<Result<ImmutableList<ItemResult>>> read(
      OwnedJob job, int position, int maxBytes) {
    Optional<ListedPage> page = job.listed().pageAt(position);
    if (page.isEmpty()) {
      return CompletableFuture.completedFuture(Result.success(ImmutableList.of()));
    }
    if (page.get().cached().isPresent()) {
      return CompletableFuture.completedFuture(
          Result.success(readCached(job, page.get(), position, maxBytes)));
    }
    return store
        .page(job.id(), page.get().position())
        .thenApply(result -> result.map(results -> keep(page.get(), results, position, maxBytes)));
  }

  private ImmutableList<ItemResult> readCached(
      OwnedJob job, ListedPage first, int position, int maxBytes) {
    ImmutableList.Builder<ItemResult> results = ImmutableList.builder();
    Optional<ListedPage> page = Optional.of(first);
    int bytes = 0;
    while (page.isPresent() && page.get().cached().isPresent() && bytes < maxBytes) {
      cache.touch(page.get());
      results.addAll(page.get().cached().get());
      bytes += page.get().cached().get().stream().mapToInt(result -> result.text().length).sum();
      page = job.listed().pageAt(page.get().end());
    }
    return ResultPages.limit(results.build(), position - first.position(), maxBytes);
  }

  private ImmutableList<ItemResult> keep(
      ListedPage page, ImmutableList<ItemResult> results, int position, int maxBytes) {
    cache.put(page, results);
    return ResultPages.limit(results, position - page.position(), maxBytes);
  }
}
