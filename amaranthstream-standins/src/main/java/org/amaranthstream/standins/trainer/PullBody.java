package org.amaranthstream.standins.trainer;

/** Body of a pull. */
record PullBody(String token, long pull, long trainerVersion, int max, int waitMs) {}
