package org.amaranthstream.standins.kv;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The lists of VMs that were set, so that one of a while ago can be answered. */
final class VmHistory {
  private final Deque<Entry> entries = new ArrayDeque<>();

  /** Sets the list that holds from now on. */
  void set(List<Vm> vms, long nowNanos) {
    entries.addLast(new Entry(nowNanos, List.copyOf(vms)));
  }

  /** Returns the list that held {@code lagMs} ago, or the first one if none did. */
  List<Vm> read(long nowNanos, int lagMs) {
    long validNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(lagMs);
    while (entries.size() > 1 && secondSetNanos() <= validNanos) {
      entries.removeFirst();
    }
    return entries.isEmpty() ? List.of() : entries.getFirst().vms();
  }

  private long secondSetNanos() {
    return entries.stream().skip(1).findFirst().orElseThrow().setNanos();
  }

  private record Entry(long setNanos, List<Vm> vms) {}
}
