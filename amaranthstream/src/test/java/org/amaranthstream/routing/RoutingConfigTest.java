package org.amaranthstream.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.ServiceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingConfigTest {

  private static Route route(String id, String host, String prefix) {
    return Route.builder()
        .id(RouteId.of(id))
        .match(host, prefix)
        .services(ImmutableList.of(new WeightedService(ServiceId.of("s"), 1)))
        .build();
  }

  private static RoutingConfig config(long version, Route... routes) {
    return RoutingConfig.of(version, List.of(routes), List.of(), RequestLimits.defaults());
  }

  @Nested
  class Finding {
    private final RoutingConfig config =
        config(1, route("all", "a", "/"), route("long", "a", "/x/y/"), route("mid", "a", "/x/"));

    @Test
    void returnsRouteWithLongestPrefixOfHost() {
      assertThat(config.find("a", "/x/y/z").get().id()).isEqualTo(RouteId.of("long"));
      assertThat(config.find("a", "/x/z").get().id()).isEqualTo(RouteId.of("mid"));
      assertThat(config.find("a", "/q").get().id()).isEqualTo(RouteId.of("all"));
    }

    @Test
    void returnsEmptyForUnknownHost() {
      assertThat(config.find("b", "/x/y/z")).isEmpty();
    }
  }

  @Nested
  class Versions {
    private final RoutingTable table = RoutingTable.create();

    @Test
    void neverDecrease() {
      table.apply(config(7));

      assertThat(table.apply(config(5))).isFalse();
      assertThat(table.current().get().version()).isEqualTo(7);
    }

    @Test
    void maySkipNumbers() {
      table.apply(config(7));

      assertThat(table.apply(config(12))).isTrue();
    }

    @Test
    void areAbsentAtFirst() {
      assertThat(table.current()).isEmpty();
    }
  }
}
