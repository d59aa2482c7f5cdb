package org.amaranthstream.rollout;

import java.util.Locale;
import org.amaranthstream.config.PriorityTarget;

/**
 * A policy that derives the number of steps ahead from measured times. It adds a step as long as
 * that reduces the trainer's expected idle share by more than a threshold. The threshold is low if
 * idle time has priority, and high if staleness has.
 *
 * <p>With k steps ahead, k + 1 steps are in progress at once, each from the start of its generation
 * to the end of its training. The interval between two steps is therefore at least 1 / (k + 1) of
 * that time, at least the training time, and at least the time for which the engines are busy with
 * a step. Variance of the times lengthens the interval, less so with more steps ahead.
 */
public final class MeasuredGenerateAhead implements GenerateAhead {
  private static final double IDLE_TIME_THRESHOLD = 0.005;
  private static final double STALENESS_THRESHOLD = 0.10;
  private static final long MIN_OBSERVATIONS = 2;
  private static final double EPSILON_SECONDS = 1e-9;
  private static final double LOGISTIC_SLOPE = 1.702;

  private static final MeasuredGenerateAhead INSTANCE = new MeasuredGenerateAhead();

  private MeasuredGenerateAhead() {}

  /** Returns the policy, which is stateless. */
  public static MeasuredGenerateAhead create() {
    return INSTANCE;
  }

  @Override
  public GenerateAheadDecision decide(GenerateAheadInput input) {
    int max = GenerateAhead.maxStepsAhead(input);
    if (!isMeasured(input)) {
      int stepsAhead = Math.min(max, input.weighsMore() == PriorityTarget.IDLE_TIME ? 1 : 0);
      return new GenerateAheadDecision(stepsAhead, "generation and training time not measured yet");
    }
    double threshold = threshold(input.weighsMore());
    int stepsAhead = 0;
    while (stepsAhead < max
        && idleShare(input, stepsAhead) - idleShare(input, stepsAhead + 1) > threshold) {
      stepsAhead++;
    }
    return new GenerateAheadDecision(stepsAhead, reason(input, stepsAhead, max));
  }

  /** Returns the expected share of time that the trainer is idle with {@code stepsAhead}. */
  static double idleShare(GenerateAheadInput input, int stepsAhead) {
    double training = input.training().meanSeconds();
    double step = stepSeconds(input, stepsAhead);
    return step < EPSILON_SECONDS ? 0 : (step - training) / step;
  }

  private static double stepSeconds(GenerateAheadInput input, int stepsAhead) {
    double generation = input.generation().meanSeconds();
    double training = input.training().meanSeconds();
    if (stepsAhead == 0) {
      return generation + training;
    }
    double pipelineInterval = (generation + training) / (stepsAhead + 1);
    double generationInterval = Math.max(input.engineTime().meanSeconds(), pipelineInterval);
    double deviation =
        Math.hypot(input.generation().deviationSeconds(), input.training().deviationSeconds())
            / (stepsAhead + 1);
    return expectedMaximum(generationInterval, training, deviation);
  }

  /**
   * Returns the expected maximum of two normally distributed values with the means {@code a} and
   * {@code b}, whose difference has the standard deviation {@code deviation}.
   */
  private static double expectedMaximum(double a, double b, double deviation) {
    if (deviation < EPSILON_SECONDS) {
      return Math.max(a, b);
    }
    double ratio = (a - b) / deviation;
    double probability = normalDistribution(ratio);
    return a * probability + b * (1 - probability) + deviation * normalDensity(ratio);
  }

  private static double normalDensity(double x) {
    return Math.exp(-x * x / 2) / Math.sqrt(2 * Math.PI);
  }

  /**
   * Returns the cumulative standard normal distribution, by the logistic approximation, whose error
   * is below 0.01.
   */
  private static double normalDistribution(double x) {
    return 1 / (1 + Math.exp(-LOGISTIC_SLOPE * x));
  }

  private static double threshold(PriorityTarget weighsMore) {
    return weighsMore == PriorityTarget.IDLE_TIME ? IDLE_TIME_THRESHOLD : STALENESS_THRESHOLD;
  }

  private static boolean isMeasured(GenerateAheadInput input) {
    return input.generation().count() >= MIN_OBSERVATIONS
        && input.training().count() >= MIN_OBSERVATIONS;
  }

  private static String reason(GenerateAheadInput input, int stepsAhead, int max) {
    return String.format(
        Locale.ROOT,
        "generation %.1f s (deviation %.1f), training %.1f s (deviation %.1f), expected idle share"
            + " %.3f with %d steps ahead of at most %d, %s weighs more",
        input.generation().meanSeconds(),
        input.generation().deviationSeconds(),
        input.training().meanSeconds(),
        input.training().deviationSeconds(),
        idleShare(input, stepsAhead),
        stepsAhead,
        max,
        input.weighsMore());
  }
}
