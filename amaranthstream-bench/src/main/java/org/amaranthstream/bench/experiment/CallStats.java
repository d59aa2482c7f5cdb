package org.amaranthstream.bench.experiment;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Statistics of the responses to the calls of one class. Confined to one thread. */
final class CallStats {
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Hundreds digit of the error codes of calls that did not run. */
  private static final int NOT_RUN_GROUP = 2;

  private static final int CODES_PER_GROUP = 100;

  private final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram rejectionMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<String, Long> errorCounts = new TreeMap<>();
  private final Set<Long> rejected = new HashSet<>();
  private long offered;
  private long completed;
  private long inTime;
  private long wrong;
  private long tokens;

  void onOffered() {
    offered++;
  }

  void onResponse(long micros, boolean isInTime, long responseTokens) {
    completed++;
    inTime += isInTime ? 1 : 0;
    tokens += responseTokens;
    latencyMicros.recordValue(Math.max(0, micros));
  }

  /** Counts a response that does not belong to the call or is incomplete. */
  void onWrongResponse() {
    wrong++;
  }

  /**
   * Counts a failed call.
   *
   * @param code the error code in the response body; 0 if there is none, as when the connection
   *     failed
   * @param name the error name that the call is counted under
   */
  void onError(long call, int code, String name, long micros) {
    errorCounts.merge(name, 1L, Long::sum);
    if (code / CODES_PER_GROUP == NOT_RUN_GROUP) {
      rejected.add(call);
      rejectionMicros.recordValue(Math.max(0, micros));
    }
  }

  long offered() {
    return offered;
  }

  long completed() {
    return completed;
  }

  long inTime() {
    return inTime;
  }

  long wrong() {
    return wrong;
  }

  long tokens() {
    return tokens;
  }

  /** Returns the numbers of the calls that were rejected with a not-run error code. */
  Set<Long> rejected() {
    return Set.copyOf(rejected);
  }

  Map<String, Long> errorCounts() {
    return new TreeMap<>(errorCounts);
  }

  /** Returns a percentile of the latency of correct responses, in ms. */
  double latencyMs(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
  }

  /** Returns a percentile of the latency of rejections, in ms; 0 if there were none. */
  double rejectionMs(double percentile) {
    return rejectionMicros.getTotalCount() == 0
        ? 0
        : rejectionMicros.getValueAtPercentile(percentile) / 1000.0;
  }
}
