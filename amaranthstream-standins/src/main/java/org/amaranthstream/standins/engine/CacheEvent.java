package org.amaranthstream.standins.engine;

/** Change of the prefix cache. */
record CacheEvent(long sequence, String kind, String affinity, long version) {}
