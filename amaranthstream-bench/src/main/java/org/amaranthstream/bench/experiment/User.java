package org.amaranthstream.bench.experiment;

import com.google.common.collect.ImmutableList;
import java.util.Locale;

/** The sizes and targets of the two users, with times scaled down for short runs. */
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
  /** One daemon, one engine and one service. */
  SINGLE("IDLE_TIME", 4, 0, ImmutableList.of(new ZoneSpec("zone-a", "region", 1, 1, 1))),
  /** Two daemons, two engines and one service, for tests of processes. */
  PAIR("IDLE_TIME", 4, 0, ImmutableList.of(new ZoneSpec("zone-a", "region", 2, 2, 1)));

  /** One-way latency between regions. */
  static final int REGION_LATENCY_MS = 8;

  private static final int PATIENT_DEADLINE_MS = 60_000;

  private final String weighsMore;
  private final int stalenessBound;
  private final int zoneLatencyMs;
  private final ImmutableList<ZoneSpec> zones;

  User(String weighsMore, int stalenessBound, int zoneLatencyMs, ImmutableList<ZoneSpec> zones) {
    this.weighsMore = weighsMore;
    this.stalenessBound = stalenessBound;
    this.zoneLatencyMs = zoneLatencyMs;
    this.zones = zones;
  }

  /** Returns the user of that name, in lower case. */
  static User of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  String weighsMore() {
    return weighsMore;
  }

  int stalenessBound() {
    return stalenessBound;
  }

  ImmutableList<ZoneSpec> zones() {
    return zones;
  }

  int latencyMs(ZoneSpec from, ZoneSpec to) {
    return from.region().equals(to.region()) ? zoneLatencyMs : REGION_LATENCY_MS;
  }

  /** Returns the deadline of lookups; tests of processes do not depend on speed. */
  int lookupDeadlineMs() {
    return this == PAIR ? PATIENT_DEADLINE_MS : Workload.LOOKUP_DEADLINE_MS;
  }

  /** Returns the time of a call to a plain service; a daemon's share shows best beside little. */
  double serviceMs() {
    return this == SINGLE ? Workload.SHORTEST_SERVICE_MS : Workload.SERVICE_MS;
  }
}
