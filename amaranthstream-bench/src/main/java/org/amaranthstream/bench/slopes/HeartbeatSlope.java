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
 * Measurement of the cost of membership for a daemon: bytes sent on its peer links, processor time
 * and heap, as functions of the number of daemons in its zone and of the number of zones.
 *
 * <p>All daemons run in this process over loopback. Each has links of its own and sends a heartbeat
 * once a second. Each zone has three backend servers for each of its daemons. One JSON line for
 * each point and each fitted line is printed to the standard output. The first point warms up the
 * JVM and is not part of a fit.
 */
final class HeartbeatSlope {
  private static final ImmutableList<Integer> SINGLE_ZONE_DAEMONS =
      ImmutableList.of(4, 8, 16, 28, 41);
  private static final ImmutableList<Integer> ZONE_COUNTS = ImmutableList.of(2, 4, 7, 10);
  private static final int MULTI_ZONE_DAEMONS = 4;
  private static final int WARM_UP_DAEMONS = 16;
  private static final int SERVERS_PER_DAEMON = 3;
  private static final Duration SETTLE_TIME = Duration.ofSeconds(5);
  private static final Duration CLOSE_TIME = Duration.ofSeconds(2);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
  private static final long MAX_LINK_POLLS = 150;

  private final Duration measuredTime;

  HeartbeatSlope(Duration measuredTime) {
    this.measuredTime = measuredTime;
  }

  int run() {
    measure(1, WARM_UP_DAEMONS);
    List<Sample> singleZone = new ArrayList<>();
    for (int daemons : SINGLE_ZONE_DAEMONS) {
      singleZone.add(measure(1, daemons));
    }
    List<Sample> multiZone = new ArrayList<>();
    for (int count : ZONE_COUNTS) {
      multiZone.add(measure(count, MULTI_ZONE_DAEMONS));
    }
    fit(
        "bytes_in_zone_per_s",
        "peers_in_zone",
        singleZone,
        s -> s.daemons() - 1,
        Sample::inZoneBytes);
    fit("cpu_ms_per_s", "peers_in_zone", singleZone, s -> s.daemons() - 1, Sample::cpuMillis);
    fit("heap_kb", "peers_in_zone", singleZone, s -> s.daemons() - 1, Sample::heapKilobytes);
    fit(
        "bytes_other_zones_per_s",
        "other_zones",
        multiZone,
        s -> s.zones() - 1,
        Sample::otherBytes);
    return 0;
  }

  private Sample measure(int zones, int daemons) {
    try (SystemTimerService timers = SystemTimerService.start("timers")) {
      DutyThread pauseThread = DutyThread.start("measurement", 64);
      Pause pause = (duration) -> pause(timers, pauseThread, duration);
      pause.sleep(CLOSE_TIME);
      long heapBefore = usedHeapBytes();
      List<LoopbackDaemon> fleet = startFleet(timers, zones, daemons);
      awaitLinks(fleet, pause);
      pause.sleep(SETTLE_TIME);
      Sample sample = sample(fleet, zones, daemons, heapBefore, pause);
      fleet.forEach(LoopbackDaemon::close);
      pauseThread.close();
      System.out.println(sample.toJson());
      return sample;
    }
  }

  private static List<LoopbackDaemon> startFleet(
      SystemTimerService timers, int zones, int daemons) {
    List<LoopbackDaemon> fleet = new ArrayList<>();
    List<VmEntry> entries = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      for (int daemon = 0; daemon < daemons; daemon++) {
        String name = String.format(Locale.ROOT, "entry-%02d-%02d", zone, daemon);
        fleet.add(LoopbackDaemon.start(name, zoneName(zone), timers));
      }
      for (int server = 0; server < daemons * SERVERS_PER_DAEMON; server++) {
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

  private static void awaitLinks(List<LoopbackDaemon> fleet, Pause pause) {
    for (long poll = 0; poll < MAX_LINK_POLLS; poll++) {
      if (fleet.stream().allMatch(d -> d.readyLinks() == d.expectedLinks())) {
        return;
      }
      pause.sleep(POLL_INTERVAL);
    }
    throw new IllegalStateException("timed out waiting for all peer links to be ready");
  }

  private Sample sample(
      List<LoopbackDaemon> fleet, int zones, int daemons, long heapBefore, Pause pause) {
    long inZone = total(fleet, d -> d.sentBytes(Locality.SAME_ZONE));
    long otherZones = total(fleet, d -> d.sentBytes(Locality.OTHER_REGION));
    long cpuBefore = processCpuNanos();
    long start = System.nanoTime();
    pause.sleep(measuredTime);
    double perDaemonSecond = fleet.size() * (System.nanoTime() - start) / 1e9;
    double cpuMillis = (processCpuNanos() - cpuBefore) / 1e6 / perDaemonSecond;
    inZone = total(fleet, d -> d.sentBytes(Locality.SAME_ZONE)) - inZone;
    otherZones = total(fleet, d -> d.sentBytes(Locality.OTHER_REGION)) - otherZones;
    double links = (double) total(fleet, LoopbackDaemon::readyLinks) / fleet.size();
    double heap = (usedHeapBytes() - heapBefore) / 1024.0 / fleet.size();
    return new Sample(
        zones,
        daemons,
        links,
        inZone / perDaemonSecond,
        otherZones / perDaemonSecond,
        cpuMillis,
        heap);
  }

  private static long total(List<LoopbackDaemon> fleet, ToLongFunction<LoopbackDaemon> value) {
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

  private static void pause(SystemTimerService timers, DutyThread duty, Duration duration) {
    CountDownLatch done = new CountDownLatch(1);
    timers.forDuty(duty).after(duration, done::countDown);
    try {
      done.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted", e);
    }
  }

  private static void fit(
      String measure, String unit, List<Sample> samples, SampleValue size, SampleValue value) {
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

  /** Pause that is timed by the timer service. */
  @FunctionalInterface
  private interface Pause {
    void sleep(Duration duration);
  }

  /** Function that extracts a value from a sample. */
  @FunctionalInterface
  private interface SampleValue {
    double of(Sample sample);
  }

  /**
   * One measured point. Values are means over the daemons, rates are per second.
   *
   * @param zones number of zones
   * @param daemons number of daemons in each zone
   * @param links outbound links of a daemon that are ready
   * @param inZoneBytes bytes sent within the zone
   * @param otherBytes bytes sent to other zones
   * @param cpuMillis processor time, in milliseconds per second
   * @param heapKilobytes heap in use after a garbage collection, in KiB
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
