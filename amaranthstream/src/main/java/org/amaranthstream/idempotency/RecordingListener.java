package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.WorkListener;

/**
 * A listener that forwards a response to the next listener and reports the end of the request, with
 * the cached response, to the {@link ClaimService}. A response of more than 65,536 characters is
 * not cached; a later request with the same key gets an unknown outcome.
 */
final class RecordingListener implements WorkListener {
  private static final int MAX_CACHED_CHARS = 64 * 1024;

  private final ClaimService claims;
  private final ClaimHandle handle;
  private final WorkListener next;
  private final List<Chunk> chunks = new ArrayList<>();
  private int chars;

  RecordingListener(ClaimService claims, ClaimHandle handle, WorkListener next) {
    this.claims = claims;
    this.handle = handle;
    this.next = next;
  }

  @Override
  public void onChunk(Chunk chunk) {
    chars += chunk.text().length();
    if (isCacheable()) {
      chunks.add(chunk);
    }
    next.onChunk(chunk);
  }

  @Override
  public void onOutcome(Outcome outcome) {
    if (outcome instanceof Outcome.NotRun) {
      claims.release(handle);
    } else {
      claims.finish(
          handle,
          isCacheable() ? cachedResponse(outcome) : ClaimingRunner.previousOutcomeUnknown());
    }
    next.onOutcome(outcome);
  }

  private boolean isCacheable() {
    return chars <= MAX_CACHED_CHARS;
  }

  private CachedResponse cachedResponse(Outcome outcome) {
    return new CachedResponse(ImmutableList.copyOf(chunks), outcome);
  }
}
