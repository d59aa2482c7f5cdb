package org.amaranthstream.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class RoutingTableTest {
  private final RoutingTable table = RoutingTable.create();
  private int notifications;

  private static RoutingConfig config(long version) {
    return RoutingConfig.of(version, List.of(), List.of(), RequestLimits.defaults());
  }

  /** Peers are told of a new configuration at once, and of nothing else. */
  @Test
  void notifiesListenersOnceForEachNewerConfiguration() {
    table.addListener(() -> notifications++);
    table.apply(config(2));
    table.apply(config(2));
    table.apply(config(1));

    assertThat(notifications).isEqualTo(1);

    table.apply(config(3));

    assertThat(notifications).isEqualTo(2);
  }
}
