package org.amaranthstream.weights;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.membership.BackendView;
import org.amaranthstream.membership.LoadReport;

/**
 * Model engine that loads each ordered version at once and counts the orders that lowered its
 * version.
 */
final class FakeEngine {
  final BackendServer server;
  private final boolean checksFencing;
  private WeightVersion version = WeightVersion.of(0);
  private WeightVersion reported = version;
  private long highestFencing;
  private boolean failing;
  private int lowered;

  FakeEngine(String name, boolean checksFencing) {
    this.server =
        new BackendServer(
            BackendServerId.of(name),
            PoolId.of("coders"),
            RegionId.of("lisboa"),
            AvailabilityZoneId.of("lisboa-a"),
            "127.0.0.1",
            1);
    this.checksFencing = checksFencing;
  }

  LoadReply onOrder(LoadOrder order) {
    if (checksFencing && order.fencing().value() < highestFencing) {
      return new LoadReply.Fenced("seen " + highestFencing);
    }
    highestFencing = Math.max(highestFencing, order.fencing().value());
    if (failing) {
      return new LoadReply.Failed("swap failed");
    }
    if (version.isAfter(order.version())) {
      lowered++;
    }
    version = order.version();
    return new LoadReply.Loaded(version);
  }

  void setFailing(boolean failing) {
    this.failing = failing;
  }

  /** Updates the load report to the current version. */
  void report() {
    reported = version;
  }

  BackendView view(long nowNanos) {
    LoadReport report =
        new LoadReport(Incarnation.of("i"), Optional.of(reported), 0, 0, 4, false, nowNanos);
    return new BackendView(server, Optional.of(report), false);
  }

  WeightVersion version() {
    return version;
  }

  void assertNeverLowered() {
    assertWithMessage("orders that lowered %s", server.id()).that(lowered).isEqualTo(0);
  }
}
