package org.amaranthstream.rollout;

/**
 * The state of a step, for the state dump.
 *
 * @param step the trainer and the step number
 * @param workClass the class of work
 * @param slots number of slots of the step
 * @param kept number of slots that the trainer's latest token contains
 * @param ready number of complete samples that are not acknowledged yet
 * @param running number of slots in generation
 * @param waiting number of slots that wait for their generation
 * @param lastPull number of the latest pull
 * @param pullWaits true if a pull waits for a sample
 * @param allowed true if slots may start
 */
public record StepDescription(
    String step,
    String workClass,
    int slots,
    int kept,
    int ready,
    int running,
    int waiting,
    long lastPull,
    boolean pullWaits,
    boolean allowed) {}
