package org.amaranthstream.decisions;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.RequestId;

/**
 * Record of one decision about one request, for operators.
 *
 * @param request the request
 * @param kind what was decided
 * @param choice the choice, for example a server name or a result code
 * @param reason the values that led to the decision, as a sentence
 * @param atNanos time of the decision on the monotonic clock of this process, in nanoseconds
 */
public record DecisionRecord(
    RequestId request, DecisionKind kind, String choice, String reason, long atNanos) {

  /** Creates a record. */
  public DecisionRecord {
    checkNotNull(request, "request");
    checkNotNull(kind, "kind");
    checkNotNull(choice, "choice");
    checkNotNull(reason, "reason");
  }
}
