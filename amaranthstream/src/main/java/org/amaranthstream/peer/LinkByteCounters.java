package org.amaranthstream.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.amaranthstream.placement.Locality;

/** Counters of the bytes sent and received over the peer links. Thread safe. */
final class LinkByteCounters implements LinkBytes {
  private final Map<Locality, LongAdder> sent = newCounters();
  private final Map<Locality, LongAdder> received = newCounters();

  private static Map<Locality, LongAdder> newCounters() {
    Map<Locality, LongAdder> counters = new EnumMap<>(Locality.class);
    for (Locality locality : Locality.values()) {
      counters.put(locality, new LongAdder());
    }
    return counters;
  }

  void addSent(Locality locality, long bytes) {
    sent.get(locality).add(bytes);
  }

  void addReceived(Locality locality, long bytes) {
    received.get(locality).add(bytes);
  }

  @Override
  public long sent(Locality locality) {
    return sent.get(locality).sum();
  }

  @Override
  public long received(Locality locality) {
    return received.get(locality).sum();
  }
}
