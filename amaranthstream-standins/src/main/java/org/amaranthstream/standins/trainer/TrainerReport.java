package org.amaranthstream.standins.trainer;

import java.util.Locale;

/**
 * Measurements and verification results of a trainer.
 *
 * @param steps number of completed steps
 * @param delivered samples received, without duplicates
 * @param doubled duplicate samples, whose slot had already been delivered
 * @param lost slots of completed steps whose sample never arrived
 * @param broken samples whose text is not a complete output or whose segments do not cover it
 * @param tooOld samples whose staleness exceeds the bound
 * @param sameText samples with the same key as an earlier sample of their step
 * @param mislabelled samples labelled with a version that did not generate them; -1 if no engines
 *     are configured
 * @param tokens tokens in the delivered samples
 * @param idleShare fraction of the run time that the trainer waited for samples
 * @param stalenessMedian median staleness of the samples, in weight versions
 * @param stalenessP99 99th percentile of the staleness, in weight versions
 * @param stalenessMax maximum staleness, in weight versions
 * @param stepWaitMedianMs median time that the trainer waited for a step, in ms
 * @param stepWaitMaxMs maximum time that the trainer waited for a step, in ms
 * @param stepMedianMs median time from the submission of a step to its completion, in ms
 * @param stepMaxMs maximum time from the submission of a step to its completion, in ms
 * @param callErrors failed calls to daemons
 * @param resubmissions steps submitted again after a daemon reported them as unknown
 */
public record TrainerReport(
    long steps,
    long delivered,
    long doubled,
    long lost,
    long broken,
    long tooOld,
    long sameText,
    long mislabelled,
    long tokens,
    double idleShare,
    long stalenessMedian,
    long stalenessP99,
    long stalenessMax,
    long stepWaitMedianMs,
    long stepWaitMaxMs,
    long stepMedianMs,
    long stepMaxMs,
    long callErrors,
    long resubmissions) {

  /** Returns true if the trainer found no violation of the guarantees that it verifies. */
  public boolean hasNoViolations() {
    return doubled == 0 && lost == 0 && broken == 0 && tooOld == 0 && mislabelled <= 0;
  }

  /** Returns the report as one line of {@code key=value} pairs. */
  public String summaryLine() {
    return String.format(
        Locale.ROOT,
        "steps=%d samples_delivered=%d samples_doubled=%d samples_lost=%d samples_broken=%d"
            + " samples_too_old=%d samples_same_text=%d samples_mislabelled=%d tokens=%d"
            + " trainer_idle_share=%.3f staleness_median=%d staleness_p99=%d staleness_max=%d"
            + " step_wait_median_ms=%d step_wait_max_ms=%d step_median_ms=%d step_max_ms=%d"
            + " call_errors=%d resubmissions=%d",
        steps,
        delivered,
        doubled,
        lost,
        broken,
        tooOld,
        sameText,
        mislabelled,
        tokens,
        idleShare,
        stalenessMedian,
        stalenessP99,
        stalenessMax,
        stepWaitMedianMs,
        stepWaitMaxMs,
        stepMedianMs,
        stepMaxMs,
        callErrors,
        resubmissions);
  }
}
