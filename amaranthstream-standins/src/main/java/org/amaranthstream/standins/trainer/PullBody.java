package org.amaranthstream.standins.trainer;

/**
 * JSON body of a pull.
 *
 * @param token the delivery token of the last page, or of the submission
 * @param pull number of this pull
 * @param trainerVersion the weight version of the trainer
 * @param max maximum number of samples of the page
 * @param waitMs maximum wait for samples, in ms
 */
record PullBody(String token, long pull, long trainerVersion, int max, int waitMs) {}
