package org.amaranthstream.standins.kv;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** History of the list of VMs, from which reads with a delay are served. Not thread safe. */
final class VmListHistory {
  private final Deque<Entry> entries = new ArrayDeque<>();

  /** Sets the list that is current from {@code nowNanos} on. */
  void set(List<Vm> vms, long nowNanos) {
    entries.addLast(new Entry(nowNanos, List.copyOf(vms)));
  }

  /** Returns the list that was current {@code lagMs} ago, or the oldest one if there was none. */
  List<Vm> read(long nowNanos, int lagMs) {
    long readNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(lagMs);
    while (entries.size() > 1 && secondSetNanos() <= readNanos) {
      entries.removeFirst();
    }
    return entries.isEmpty() ? List.of() : entries.getFirst().vms();
  }

  private long secondSetNanos() {
    return entries.stream().skip(1).findFirst().orElseThrow().setNanos();
  }

  private record Entry(long setNanos, List<Vm> vms) {}
}
