package org.amaranthstream.standins.trainer;

/** JSON body of the response to the submission of a step. */
record StepAccepted(int slots, String token) {}
