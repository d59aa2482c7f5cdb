package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class SlowServersTest {
  private static final long MILLI = 1_000_000;

  private static TrackedServer server(String id, long millisPerEvent) {
    TrackedServer server = new TrackedServer(ServerDirectoryTest.registration(id, 1, false));
    for (int i = 0; i < 20; i++) {
      server.onEventInterval(millisPerEvent * MILLI, i * MILLI);
    }
    return server;
  }

  @Test
  void containsServerThatIsMuchSlowerThanOthers() {
    TrackedServer slow = server("slow", 140);
    List<TrackedServer> servers = List.of(server("a", 40), slow, server("b", 42), server("c", 38));

    SlowServers found = SlowServers.among(servers, 20 * MILLI);

    assertThat(servers.stream().filter(found::contains).toList()).containsExactly(slow);
  }

  @Test
  void ignoresSmallDifferences() {
    List<TrackedServer> servers = List.of(server("a", 40), server("b", 55), server("c", 60));

    SlowServers found = SlowServers.among(servers, 20 * MILLI);

    assertThat(servers.stream().anyMatch(found::contains)).isFalse();
  }

  @Test
  void omitsServerWithoutRecentEvents() {
    TrackedServer slow = server("slow", 140);
    List<TrackedServer> servers = List.of(server("a", 40), slow, server("b", 42));

    SlowServers found = SlowServers.among(servers, Duration.ofSeconds(5).toNanos());

    assertThat(found.contains(slow)).isFalse();
  }
}
