package org.amaranthstream.once;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;

/**
 * The answer of a request that ran.
 *
 * @param chunks its parts
 * @param outcome its outcome, which is not {@link Outcome.NotRun}
 */
public record CachedResponse(ImmutableList<Chunk> chunks, Outcome outcome) {
  private static final int OVERHEAD_BYTES = 200;

  /** Creates an answer. */
  public CachedResponse {
    checkNotNull(chunks, "chunks");
    checkNotNull(outcome, "outcome");
  }

  /** Returns about how many bytes of memory it takes. */
  long sizeBytes() {
    return OVERHEAD_BYTES
        + chunks.stream().mapToLong(c -> OVERHEAD_BYTES + 2L * c.text().length()).sum();
  }
}
