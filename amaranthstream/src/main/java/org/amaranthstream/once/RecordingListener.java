package org.amaranthstream.once;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.WorkListener;

/** Gives an answer on, keeps it, and tells the claims how the request ended. */
final class RecordingListener implements WorkListener {
  private static final int MAX_KEPT_CHARS = 64 * 1024;

  private final ClaimService claims;
  private final ClaimTicket ticket;
  private final WorkListener next;
  private final List<Chunk> chunks = new ArrayList<>();
  private int chars;

  RecordingListener(ClaimService claims, ClaimTicket ticket, WorkListener next) {
    this.claims = claims;
    this.ticket = ticket;
    this.next = next;
  }

  @Override
  public void onChunk(Chunk chunk) {
    chars += chunk.text().length();
    if (isKept()) {
      chunks.add(chunk);
    }
    next.onChunk(chunk);
  }

  @Override
  public void onOutcome(Outcome outcome) {
    if (outcome instanceof Outcome.NotRun) {
      claims.release(ticket);
    } else {
      claims.finish(ticket, isKept() ? whole(outcome) : OnceRunner.priorRunUnknown());
    }
    next.onOutcome(outcome);
  }

  private boolean isKept() {
    return chars <= MAX_KEPT_CHARS;
  }

  private StoredAnswer whole(Outcome outcome) {
    return new StoredAnswer(ImmutableList.copyOf(chunks), outcome);
  }
}
