package org.amaranthstream.decisions;

/** Kind of a decision about a request. */
public enum DecisionKind {
  ADMIT,
  REFUSE,
  QUEUE,
  PLACE,
  FORWARD,
  RETRY,
  RESUME,
  CANCEL,
  DROP,
  QUARANTINE,
  CLAIM,
  COMPLETE,
  FAIL
}
