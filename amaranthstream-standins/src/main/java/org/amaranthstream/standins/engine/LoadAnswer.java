package org.amaranthstream.standins.engine;

/** Report of the engine's load as it was {@code ageMs} ago. */
record LoadAnswer(
    String incarnation,
    long version,
    int running,
    int queued,
    int slots,
    boolean draining,
    long ageMs) {}
