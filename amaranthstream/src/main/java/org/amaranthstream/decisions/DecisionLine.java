package org.amaranthstream.decisions;

/** A record as a line of {@link DecisionFile}. */
record DecisionLine(String request, String kind, String choice, String reason, long atNanos) {

  static DecisionLine of(DecisionRecord decision) {
    return new DecisionLine(
        decision.request().toString(),
        decision.kind().name(),
        decision.choice(),
        decision.reason(),
        decision.atNanos());
  }
}
