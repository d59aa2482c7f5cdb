package org.amaranthstream.decisions;

/** Decision record as a JSON line of a {@link DecisionFile}. */
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
