package org.amaranthstream.standins.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * LRU cache of prompt prefixes, keyed by prefix hash and weight version, with a log of its changes.
 * Confined to the server's event loop.
 */
final class PrefixCache {
  private static final int PREFIX_CHARS = 256;
  private static final int MAX_EVENTS = 1000;

  private final int capacity;
  private final Map<Prefix, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<CacheEvent> events = new ArrayDeque<>();
  private long sequence;

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Looks up a prompt, stores it if absent, and returns true on a hit. */
  boolean touch(String prompt, long version) {
    Prefix prefix = new Prefix(affinity(prompt), version);
    boolean hit = entries.put(prefix, true) != null;
    if (!hit) {
      record("STORED", prefix);
    }
    if (entries.size() > capacity) {
      Prefix evicted = entries.keySet().iterator().next();
      entries.remove(evicted);
      record("EVICTED", evicted);
    }
    return hit;
  }

  /** Removes all entries and events. */
  void clear() {
    entries.clear();
    events.clear();
  }

  /** Returns the retained events whose sequence number is above {@code after}, oldest first. */
  List<CacheEvent> eventsAfter(long after) {
    return events.stream().filter(event -> event.sequence() > after).toList();
  }

  private void record(String kind, Prefix prefix) {
    sequence++;
    events.addLast(new CacheEvent(sequence, kind, prefix.affinity(), prefix.version()));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  private static String affinity(String prompt) {
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    return Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).toString();
  }

  private record Prefix(String affinity, long version) {}
}
