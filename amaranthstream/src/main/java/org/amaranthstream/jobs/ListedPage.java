package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** A page of listed results, whose results are cached or only in the store. Not thread safe. */
final class ListedPage {
  private final int position;
  private final int count;
  private @Nullable ImmutableList<ItemResult> cached;

  ListedPage(int position, int count) {
    this.position = position;
    this.count = count;
  }

  /** Returns the position of the first result. */
  int position() {
    return position;
  }

  /** Returns the position after the last result. */
  int end() {
    return position + count;
  }

  Optional<ImmutableList<ItemResult>> cached() {
    return Optional.ofNullable(cached);
  }

  void setCached(@Nullable ImmutableList<ItemResult> results) {
    cached = results;
  }
}
