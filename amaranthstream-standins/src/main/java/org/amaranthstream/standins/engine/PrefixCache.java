package org.amaranthstream.standins.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Bounded cache of prompt prefixes by version, the least recently used evicted first. */
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

  /** Looks a prompt up and stores it; true if it was there. */
  boolean touch(String prompt, long version) {
    Prefix prefix = new Prefix(affinity(prompt), version);
    boolean hit = entries.put(prefix, true) != null;
    if (!hit) {
      record("STORED", prefix);
    }
    if (entries.size() > capacity) {
      Prefix oldest = entries.keySet().iterator().next();
      entries.remove(oldest);
      record("EVICTED", oldest);
    }
    return hit;
  }

  /** Drops everything. */
  void clear() {
    entries.clear();
    events.clear();
  }

  /** Returns the events after a sequence number; the oldest may be gone. */
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
