package org.amaranthstream.bench.experiment;

import java.util.Locale;

/** Configuration document that an operator writes to a cluster of the experiments. */
final class ClusterConfig {

  private ClusterConfig() {}

  /** Returns the document with the classes, deadlines and bounds of a user, as YAML. */
  static String yaml(User user) {
    return String.format(
        Locale.ROOT,
        """
        pools:
          engines: {kind: MODEL_ENGINE, model: %s, checksFencing: true}
          services: {kind: PLAIN_SERVICE}
        classes:
          %s:
            kind: INTERACTIVE
            pool: engines
            answerDeadline: %dms
            stalenessBound: %d
            maxTokens: %d
            idempotent: true
          %s:
            kind: INTERACTIVE
            pool: services
            answerDeadline: %dms
            idempotent: false
          %s:
            kind: INTERACTIVE
            pool: services
            answerDeadline: %dms
            idempotent: true
          %s:
            kind: TRAINING
            pool: engines
            stepDeadline: %dms
            stalenessBound: %d
            weighsMore: %s
            maxTokens: %d
        """,
        Workload.MODEL,
        Workload.LOOKUP_CLASS,
        user.lookupDeadlineMs(),
        user.stalenessBound(),
        Workload.LOOKUP_MAX_TOKENS,
        Workload.ORDER_CLASS,
        Workload.ORDER_DEADLINE_MS,
        Workload.QUERY_CLASS,
        Workload.ORDER_DEADLINE_MS,
        Workload.TRAINING_CLASS,
        Workload.STEP_DEADLINE_MS,
        user.stalenessBound(),
        user.weighsMore(),
        Workload.SAMPLE_MAX_TOKENS);
  }
}
