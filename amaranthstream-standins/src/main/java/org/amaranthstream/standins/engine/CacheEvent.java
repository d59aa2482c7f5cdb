package org.amaranthstream.standins.engine;

/** JSON record of one change of the prefix cache. */
record CacheEvent(long sequence, String kind, String affinity, long version) {}
