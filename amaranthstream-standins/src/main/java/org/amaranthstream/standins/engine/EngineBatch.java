package org.amaranthstream.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Running batch and priority queue of an engine's requests. Confined to the server's event loop.
 */
final class EngineBatch {
  private static final Comparator<Sequence> BY_PRIORITY =
      Comparator.comparingInt(sequence -> sequence.request.priority());

  private final int slots;
  private final int queueCapacity;
  private final List<Sequence> running = new ArrayList<>();
  private final List<Sequence> queued = new ArrayList<>();

  EngineBatch(int slots, int queueCapacity) {
    this.slots = slots;
    this.queueCapacity = queueCapacity;
  }

  /** Adds a request to the queue. Returns false if all slots are used and the queue is full. */
  boolean add(Sequence sequence) {
    boolean full = running.size() >= slots && queued.size() >= queueCapacity;
    if (full) {
      return false;
    }
    queued.add(sequence);
    queued.sort(BY_PRIORITY);
    return true;
  }

  /** Moves the next queued request into a free slot and returns it, if there are both. */
  Optional<Sequence> startNext() {
    if (queued.isEmpty() || running.size() >= slots) {
      return Optional.empty();
    }
    Sequence next = queued.remove(0);
    running.add(next);
    return Optional.of(next);
  }

  /** Removes and returns the running and queued requests of an attempt. */
  List<Sequence> cancel(String attempt) {
    List<Sequence> cancelled = new ArrayList<>();
    for (Sequence sequence : all()) {
      if (sequence.attempt().equals(attempt)) {
        remove(sequence);
        cancelled.add(sequence);
      }
    }
    return cancelled;
  }

  void remove(Sequence sequence) {
    running.remove(sequence);
    queued.remove(sequence);
  }

  void clear() {
    running.clear();
    queued.clear();
  }

  List<Sequence> running() {
    return List.copyOf(running);
  }

  int queuedCount() {
    return queued.size();
  }

  int runningCount() {
    return running.size();
  }

  private List<Sequence> all() {
    List<Sequence> all = new ArrayList<>(running);
    all.addAll(queued);
    return all;
  }
}
