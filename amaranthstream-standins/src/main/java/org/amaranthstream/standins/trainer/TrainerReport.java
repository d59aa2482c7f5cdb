package org.amaranthstream.standins.trainer;

import java.util.Locale;

/**
 * What a trainer measured. {@code mislabelled} is -1 if no engine's ledger was read.
 *
 * @param steps steps that were whole
 * @param delivered samples kept
 * @param doubled samples whose slot had been delivered before
 * @param lost slots that the system called delivered and that never arrived
 * @param broken samples whose text is not whole
 * @param tooOld samples older than the bound
 * @param sameText samples with the text of another sample of their step
 * @param mislabelled samples that name a version which did not produce them
 * @param tokens tokens of the samples kept
 * @param idleShare share of the time that the trainer waited for samples
 * @param stalenessMedian median age of samples, in versions
 * @param stalenessP99 99th percentile of the age
 * @param stalenessMax greatest age
 * @param stepWaitMedianMs median time that the trainer waited for a step
 * @param stepWaitMaxMs longest time that it waited for a step
 * @param stepMedianMs median time from the submission of a step until it was whole
 * @param stepMaxMs longest such time
 * @param callErrors calls to daemons that failed
 * @param resubmissions steps submitted again because no daemon knew them
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

  /** Returns true if every promise held that the trainer can check. */
  public boolean hasNoViolations() {
    return doubled == 0 && lost == 0 && broken == 0 && tooOld == 0 && mislabelled <= 0;
  }

  /** Returns one line of key=value pairs. */
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
