package org.amaranthstream.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.amaranthstream.membership.MembershipSettings;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Settings;
import org.amaranthstream.settings.SettingsLoader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerSettingsFactoryTest {
  private static final Path EXAMPLE = Path.of("../docs/examples/settings.yaml");

  @TempDir private Path folder;

  /**
   * A heartbeat acknowledges the previous one, so its reports appear at least one heartbeat
   * interval old. With a shorter relay skew, the receiver discards all of them as late.
   */
  @Test
  void relaySkewAllowsForLongHeartbeatIntervals() throws IOException {
    String yaml =
        Files.readString(EXAMPLE)
            .replace("heartbeatIntervalMs: 1000", "heartbeatIntervalMs: 10000")
            .replace("suspectTimeoutMs: 4000", "suspectTimeoutMs: 40000");
    Files.writeString(folder.resolve("peer.key"), "p".repeat(32));
    Files.writeString(folder.resolve("delivery.key"), "d".repeat(32));
    Files.writeString(folder.resolve("operator.token"), "operator-token-0001");
    Files.createDirectory(folder.resolve("data"));
    Result<Settings> settings = SettingsLoader.parse("settings.yaml", yaml, folder);
    assertThat(settings).isInstanceOf(Result.Success.class);
    MembershipSettings membership =
        PeerSettingsFactory.membershipSettings(((Result.Success<Settings>) settings).value());
    assertThat(membership.relaySkew()).isAtLeast(Duration.ofSeconds(20));
  }
}
