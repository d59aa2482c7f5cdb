package org.amaranthstream.scaling;

import java.time.Duration;
import java.util.List;

/**
 * The fewest servers with which all work is done in time.
 *
 * <p>For each span between a start and a due time, the work that lies within it needs its server
 * time divided by the length of the span. The greatest of these is enough for any order of the work
 * that prefers what is due first. A span counts only from the moment at which ordered servers can
 * serve, because an order made now cannot help before.
 */
public final class RequiredServers {
  private static final double NANOS_PER_SECOND = 1e9;

  private RequiredServers() {}

  /**
   * Returns the number of servers.
   *
   * @param present the servers that serve until ordered ones do
   * @param bootTime the time from an order until its servers serve
   */
  public static int of(List<ExpectedWork> work, int present, Duration bootTime) {
    double most = 0;
    for (ExpectedWork from : work) {
      for (ExpectedWork to : work) {
        if (from.start().compareTo(to.due()) < 0) {
          most = Math.max(most, forSpan(work, from.start(), to.due(), present, bootTime));
        }
      }
    }
    return (int) Math.ceil(most);
  }

  private static double forSpan(
      List<ExpectedWork> work, Duration from, Duration to, int present, Duration bootTime) {
    double needed =
        work.stream()
            .filter(w -> w.start().compareTo(from) >= 0 && w.due().compareTo(to) <= 0)
            .mapToDouble(w -> seconds(w.serverTime()))
            .sum();
    double length = seconds(to) - seconds(from);
    double beforeBoot = Math.min(length, Math.max(0, seconds(bootTime) - seconds(from)));
    double afterBoot = length - beforeBoot;
    // What the present servers cannot do before is done by all afterwards. Work that is due before
    // ordered servers serve is lost to the decision.
    return afterBoot <= 0 ? 0 : Math.max(0, needed - present * beforeBoot) / afterBoot;
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }
}
