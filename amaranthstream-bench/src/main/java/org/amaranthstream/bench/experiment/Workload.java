package org.amaranthstream.bench.experiment;

/** Constants of the stand-ins and of the load that every run offers. */
final class Workload {
  static final int ENGINE_SLOTS = 4;
  static final int TOKEN_INTERVAL_MS = 20;
  static final int TOKENS_PER_CHUNK = 2;
  static final int PREFILL_MS = 50;
  static final int SWAP_MS = 100;
  static final int REPORT_LAG_MS = 250;

  static final String LOOKUP_CLASS = "lookup";
  static final int LOOKUP_MAX_TOKENS = 16;
  static final int LOOKUP_DEADLINE_MS = 1_500;

  static final String ORDER_CLASS = "order";
  static final int ORDER_DEADLINE_MS = 1_500;
  static final double ORDERS_PER_SECOND = 20;
  static final double SERVICE_MS = 20;
  static final double SHORTEST_SERVICE_MS = 1;

  static final String QUERY_CLASS = "query";

  static final String TRAINING_CLASS = "rollout";
  static final String MODEL = "coder";
  static final int STEP_GROUPS = 4;
  static final int SAMPLES_PER_GROUP = 4;
  static final int SAMPLE_MAX_TOKENS = 64;
  static final int TRAIN_MS = 2_000;
  static final int STEP_DEADLINE_MS = 30_000;
  static final int HORIZON = 3;

  private Workload() {}
}
