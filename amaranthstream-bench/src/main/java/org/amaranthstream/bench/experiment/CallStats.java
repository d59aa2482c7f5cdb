package org.amaranthstream.bench.experiment;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts of the answers to the calls of one class. One thread. */
final class CallStats {
  private static final int DIGITS = 3;
  private static final int REFUSAL_GROUP = 2;
  private static final int GROUP_SIZE = 100;

  private final Histogram latencyMicros = new Histogram(DIGITS);
  private final Histogram refusalMicros = new Histogram(DIGITS);
  private final Map<String, Long> codes = new TreeMap<>();
  private final Set<Long> refused = new HashSet<>();
  private long offered;
  private long answered;
  private long inTime;
  private long wrong;
  private long tokens;

  void onOffered() {
    offered++;
  }

  void onAnswer(long micros, boolean isInTime, long answerTokens) {
    answered++;
    inTime += isInTime ? 1 : 0;
    tokens += answerTokens;
    latencyMicros.recordValue(Math.max(0, micros));
  }

  void onWrongAnswer() {
    wrong++;
  }

  /** Counts an answer without a result; the code is 0 if the connection failed. */
  void onError(long call, int code, String name, long micros) {
    codes.merge(name, 1L, Long::sum);
    if (code / GROUP_SIZE == REFUSAL_GROUP) {
      refused.add(call);
      refusalMicros.recordValue(Math.max(0, micros));
    }
  }

  long offered() {
    return offered;
  }

  long answered() {
    return answered;
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

  /** Returns the numbers of the calls that were refused as not run. */
  Set<Long> refused() {
    return Set.copyOf(refused);
  }

  Map<String, Long> codes() {
    return new TreeMap<>(codes);
  }

  /** Returns a latency of answers, in ms. */
  double latencyMs(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
  }

  /** Returns a latency of refusals, in ms. */
  double refusalMs(double percentile) {
    return refusalMicros.getTotalCount() == 0
        ? 0
        : refusalMicros.getValueAtPercentile(percentile) / 1000.0;
  }
}
