package org.amaranthstream.standins.engine;

/** JSON report of the engine's load, measured {@code ageMs} before it is sent. */
record LoadResponse(
    String incarnation,
    long version,
    int running,
    int queued,
    int slots,
    boolean draining,
    long ageMs) {}
