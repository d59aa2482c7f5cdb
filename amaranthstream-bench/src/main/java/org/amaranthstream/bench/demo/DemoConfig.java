package org.amaranthstream.bench.demo;

/** Configuration that the demo submits as an operator. */
final class DemoConfig {
  static final int STALENESS_BOUND = 2;
  static final int MAX_TOKENS = 64;

  private DemoConfig() {}

  static String yaml() {
    return String.join(
        "\n",
        "pools:",
        "  coding: {kind: MODEL_ENGINE, model: coder, checksFencing: true}",
        "  portal: {kind: PLAIN_SERVICE}",
        "classes:",
        "  lookup:",
        "    kind: INTERACTIVE",
        "    pool: coding",
        "    answerDeadline: 2s",
        "    stalenessBound: 4",
        "    idempotent: true",
        "    maxTokens: " + MAX_TOKENS,
        "  quote:",
        "    kind: INTERACTIVE",
        "    pool: portal",
        "    answerDeadline: 2s",
        "    idempotent: false",
        "  practice:",
        "    kind: TRAINING",
        "    pool: coding",
        "    stepDeadline: 7m",
        "    stalenessBound: " + STALENESS_BOUND,
        "    weighsMore: IDLE_TIME",
        "    maxTokens: " + MAX_TOKENS,
        "");
  }
}
