package org.amaranthstream.bench.slopes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.ToLongFunction;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.placement.Locality;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmKind;
import org.amaranthstream.ring.DutyThread;
import org.amaranthstream.time.SystemTimerService;

/**
 * Measures what membership costs a daemon: bytes that its peer links carry, processor time and
 * heap, against the number of daemons in its zone and the number of zones.
 *
 * <p>All daemons run in this process over loopback, each with its own links, heartbeats and three
 * backend servers for each daemon, and send once a second. One JSON line for each point and each
 * fitted line goes to the standard output; the first point only warms up.
 */
final class HeartbeatSlope {
  private static final ImmutableList<Integer> DAEMONS_A_ZONE = ImmutableList.of(4, 8, 16, 28, 41);
  private static final ImmutableList<Integer> ZONES = ImmutableList.of(2, 4, 7, 10);
  private static final int DAEMONS_BESIDE_ZONES = 4;
  private static final int WARM_UP_DAEMONS = 16;
  private static final int SERVERS_A_DAEMON = 3;
  private static final Duration SETTLE = Duration.ofSeconds(5);
  private static final Duration CLOSING = Duration.ofSeconds(2);
  private static final Duration POLL = Duration.ofMillis(200);
  private static final long MAX_LINK_POLLS = 150;

  private final Duration measured;

  HeartbeatSlope(Duration measured) {
    this.measured = measured;
  }

  int run() {
    measure(1, WARM_UP_DAEMONS);
    List<Sample> zone = new ArrayList<>();
    for (int daemons : DAEMONS_A_ZONE) {
      zone.add(measure(1, daemons));
    }
    List<Sample> zones = new ArrayList<>();
    for (int count : ZONES) {
      zones.add(measure(count, DAEMONS_BESIDE_ZONES));
    }
    fit("bytes_in_zone_per_s", "peers_in_zone", zone, s -> s.daemons() - 1, Sample::inZoneBytes);
    fit("cpu_ms_per_s", "peers_in_zone", zone, s -> s.daemons() - 1, Sample::cpuMillis);
    fit("heap_kb", "peers_in_zone", zone, s -> s.daemons() - 1, Sample::heapKilobytes);
    fit("bytes_other_zones_per_s", "other_zones", zones, s -> s.zones() - 1, Sample::otherBytes);
    return 0;
  }

  private Sample measure(int zones, int daemons) {
    try (SystemTimerService clock = SystemTimerService.start("timers")) {
      DutyThread waiting = DutyThread.start("measurement", 64);
      Pause pause = (duration) -> pause(clock, waiting, duration);
      pause.sleep(CLOSING);
      long heapBefore = usedHeapBytes();
      List<SlopeDaemon> fleet = startFleet(clock, zones, daemons);
      awaitLinks(fleet, pause);
      pause.sleep(SETTLE);
      Sample sample = sample(fleet, zones, daemons, heapBefore, pause);
      fleet.forEach(SlopeDaemon::close);
      waiting.close();
      System.out.println(sample.toJson());
      return sample;
    }
  }

  private static List<SlopeDaemon> startFleet(SystemTimerService clock, int zones, int daemons) {
    List<SlopeDaemon> fleet = new ArrayList<>();
    List<VmEntry> entries = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      for (int daemon = 0; daemon < daemons; daemon++) {
        String name = String.format(Locale.ROOT, "entry-%02d-%02d", zone, daemon);
        fleet.add(SlopeDaemon.start(name, zoneName(zone), clock));
      }
      for (int server = 0; server < daemons * SERVERS_A_DAEMON; server++) {
        entries.add(serverEntry(zone, server));
      }
    }
    fleet.forEach(daemon -> entries.add(daemon.entry()));
    fleet.forEach(daemon -> daemon.join(entries));
    return fleet;
  }

  private static String zoneName(int zone) {
    return "zone-" + zone;
  }

  private static VmEntry serverEntry(int zone, int server) {
    return new VmEntry(
        String.format(Locale.ROOT, "engine-%02d-%03d", zone, server),
        VmKind.BACKEND,
        RegionId.of("region-" + zoneName(zone)),
        AvailabilityZoneId.of(zoneName(zone)),
        "127.0.0.1",
        1,
        Optional.of(PoolId.of("coding")),
        false);
  }

  private static void awaitLinks(List<SlopeDaemon> fleet, Pause pause) {
    for (long poll = 0; poll < MAX_LINK_POLLS; poll++) {
      if (fleet.stream().allMatch(d -> d.readyLinks() == d.wantedLinks())) {
        return;
      }
      pause.sleep(POLL);
    }
    throw new IllegalStateException("not all links are ready in time");
  }

  private Sample sample(
      List<SlopeDaemon> fleet, int zones, int daemons, long heapBefore, Pause pause) {
    long inZone = total(fleet, d -> d.sentBytes(Locality.SAME_ZONE));
    long others = total(fleet, d -> d.sentBytes(Locality.OTHER_REGION));
    long cpu = processCpuNanos();
    long start = System.nanoTime();
    pause.sleep(measured);
    double perDaemonSecond = fleet.size() * (System.nanoTime() - start) / 1e9;
    double cpuMillis = (processCpuNanos() - cpu) / 1e6 / perDaemonSecond;
    inZone = total(fleet, d -> d.sentBytes(Locality.SAME_ZONE)) - inZone;
    others = total(fleet, d -> d.sentBytes(Locality.OTHER_REGION)) - others;
    double links = (double) total(fleet, SlopeDaemon::readyLinks) / fleet.size();
    double heap = (usedHeapBytes() - heapBefore) / 1024.0 / fleet.size();
    return new Sample(
        zones, daemons, links, inZone / perDaemonSecond, others / perDaemonSecond, cpuMillis, heap);
  }

  private static long total(List<SlopeDaemon> fleet, ToLongFunction<SlopeDaemon> value) {
    return fleet.stream().mapToLong(value).sum();
  }

  private static long processCpuNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void pause(SystemTimerService clock, DutyThread duty, Duration duration) {
    CountDownLatch done = new CountDownLatch(1);
    clock.forDuty(duty).after(duration, done::countDown);
    try {
      done.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted", e);
    }
  }

  private static void fit(
      String measure, String unit, List<Sample> samples, ToDouble size, ToDouble value) {
    List<LinearFit.Point> points =
        samples.stream().map(s -> new LinearFit.Point(size.of(s), value.of(s))).toList();
    LinearFit fit = LinearFit.of(points);
    System.out.printf(
        Locale.ROOT,
        "{\"fit\": \"%s\", \"per\": \"%s\", \"intercept\": %.2f, \"slope\": %.3f,"
            + " \"rSquared\": %.4f, \"largest\": %.2f}%n",
        measure,
        unit,
        fit.intercept(),
        fit.slope(),
        fit.determination(),
        Iterables.getLast(points).y());
  }

  /** Waits by the timer service. */
  @FunctionalInterface
  private interface Pause {
    void sleep(Duration duration);
  }

  /** A figure of a sample. */
  @FunctionalInterface
  private interface ToDouble {
    double of(Sample sample);
  }

  /**
   * One measured point; figures are means over the daemons, rates are per second.
   *
   * @param zones number of zones
   * @param daemons daemons of each zone
   * @param links outbound links of a daemon
   * @param inZoneBytes bytes sent within the zone
   * @param otherBytes bytes sent to other zones
   * @param cpuMillis processor time in milliseconds
   * @param heapKilobytes heap in use after a collection
   */
  private record Sample(
      int zones,
      int daemons,
      double links,
      double inZoneBytes,
      double otherBytes,
      double cpuMillis,
      double heapKilobytes) {
    String toJson() {
      return String.format(
          Locale.ROOT,
          "{\"zones\": %d, \"daemonsAZone\": %d, \"links\": %.1f, \"inZoneBytesPerS\": %.0f,"
              + " \"otherZonesBytesPerS\": %.0f, \"cpuMsPerS\": %.2f, \"heapKb\": %.0f}",
          zones,
          daemons,
          links,
          inZoneBytes,
          otherBytes,
          cpuMillis,
          heapKilobytes);
    }
  }
}
