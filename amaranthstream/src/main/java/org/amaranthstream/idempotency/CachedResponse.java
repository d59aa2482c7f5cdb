package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;

/**
 * The response of a request that ran, kept in memory to be returned to requests with the same key.
 *
 * @param chunks the chunks of the response
 * @param outcome the outcome, which is not {@link Outcome.NotRun}
 */
public record CachedResponse(ImmutableList<Chunk> chunks, Outcome outcome) {
  private static final int OVERHEAD_BYTES = 200;

  /** Creates a response. */
  public CachedResponse {
    checkNotNull(chunks, "chunks");
    checkNotNull(outcome, "outcome");
  }

  /** Returns the estimated size in memory. */
  long sizeBytes() {
    return OVERHEAD_BYTES
        + chunks.stream().mapToLong(c -> OVERHEAD_BYTES + 2L * c.text().length()).sum();
  }
}
