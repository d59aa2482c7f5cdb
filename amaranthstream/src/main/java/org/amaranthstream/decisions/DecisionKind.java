package org.amaranthstream.decisions;

/** What a decision is about. */
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
