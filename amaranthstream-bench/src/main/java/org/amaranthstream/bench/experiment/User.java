package org.amaranthstream.bench.experiment;

import com.google.common.collect.ImmutableList;
import java.util.Locale;

/** Cluster sizes and targets of each user, with times scaled down for short runs. */
enum User {
  DIVISION(
      "IDLE_TIME",
      4,
      2,
      ImmutableList.of(
          new ZoneSpec("lisboa-a", "lisboa", 3, 3, 1),
          new ZoneSpec("lisboa-b", "lisboa", 2, 3, 1),
          new ZoneSpec("porto-a", "porto", 2, 2, 1))),
  SHEKERLI(
      "STALENESS",
      2,
      1,
      ImmutableList.of(
          new ZoneSpec("almaty-a", "almaty", 2, 2, 1),
          new ZoneSpec("almaty-b", "almaty", 2, 2, 1),
          new ZoneSpec("astana-a", "astana", 2, 2, 1))),
  /** One daemon, one engine and one service, for {@link SingleDaemon}. */
  SINGLE("IDLE_TIME", 4, 0, ImmutableList.of(new ZoneSpec("zone-a", "region", 1, 1, 1))),
  /** Two daemons, two engines and one service, for tests of processes. */
  PAIR("IDLE_TIME", 4, 0, ImmutableList.of(new ZoneSpec("zone-a", "region", 2, 2, 1)));

  /** One-way latency between regions, in ms. */
  static final int CROSS_REGION_LATENCY_MS = 8;

  private static final int PAIR_LOOKUP_DEADLINE_MS = 60_000;

  private final String weighsMore;
  private final int stalenessBound;
  private final int sameRegionLatencyMs;
  private final ImmutableList<ZoneSpec> zones;

  User(
      String weighsMore,
      int stalenessBound,
      int sameRegionLatencyMs,
      ImmutableList<ZoneSpec> zones) {
    this.weighsMore = weighsMore;
    this.stalenessBound = stalenessBound;
    this.sameRegionLatencyMs = sameRegionLatencyMs;
    this.zones = zones;
  }

  /** Returns the user with a label. */
  static User of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns the name in lower case, as in the flags and results. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the value of the {@code weighsMore} key of the training class. */
  String weighsMore() {
    return weighsMore;
  }

  int stalenessBound() {
    return stalenessBound;
  }

  ImmutableList<ZoneSpec> zones() {
    return zones;
  }

  /** Returns the one-way latency between two zones, in ms. */
  int latencyMs(ZoneSpec from, ZoneSpec to) {
    return from.region().equals(to.region()) ? sameRegionLatencyMs : CROSS_REGION_LATENCY_MS;
  }

  /**
   * Returns the deadline of lookups, in ms. It is long for {@link #PAIR}, so that tests of
   * processes do not depend on the speed of the machine.
   */
  int lookupDeadlineMs() {
    return this == PAIR ? PAIR_LOOKUP_DEADLINE_MS : Workload.LOOKUP_DEADLINE_MS;
  }

  /**
   * Returns the time of a call to a plain service, in ms. It is short for {@link #SINGLE}, because
   * the overhead of the daemon is then a larger part of the latency.
   */
  double serviceMs() {
    return this == SINGLE ? Workload.SHORTEST_SERVICE_MS : Workload.SERVICE_MS;
  }
}
