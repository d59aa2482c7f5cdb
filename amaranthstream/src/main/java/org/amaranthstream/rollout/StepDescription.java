package org.amaranthstream.rollout;

/**
 * State of a step for the state dump.
 *
 * @param step trainer and number
 * @param workClass the class of work
 * @param slots number of samples of the step
 * @param kept slots that the trainer's newest token has
 * @param ready whole samples that are kept until a token has them
 * @param running slots that are generated
 * @param waiting slots that wait to be generated
 * @param lastPull number of the newest pull
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
