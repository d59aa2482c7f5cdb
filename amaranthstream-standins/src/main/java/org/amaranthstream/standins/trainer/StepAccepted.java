package org.amaranthstream.standins.trainer;

/** Answer to the submission of a step. */
record StepAccepted(int slots, String token) {}
