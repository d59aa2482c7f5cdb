package org.amaranthstream.bench.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writer of the settings files and the peer key file of a cluster's daemons. */
final class ClusterFiles {
  static final String CALLER_TOKEN = "caller-token-of-the-bench";
  static final String TRAINER_TOKEN = "trainer-token-of-the-bench";
  static final String OPERATOR_TOKEN = "operator-token-of-the-bench";
  static final String MODEL_POOL = "engines";
  static final String SERVICE_POOL = "services";

  private static final String PEER_KEY = "0123456789abcdef0123456789abcdef";

  private ClusterFiles() {}

  /**
   * Writes the shared peer key file that every settings file refers to. Call this before any daemon
   * starts, because a daemon reads the file at startup.
   */
  static void writePeerKey(Path folder) throws IOException {
    Files.writeString(folder.resolve("peer.key"), PEER_KEY);
  }

  /** Writes the settings file of a daemon and returns its path. */
  static Path writeSettings(Path folder, DaemonSpec daemon, String platformUrl) throws IOException {
    String text =
        String.format(
            Locale.ROOT,
            """
            vm: %s
            region: %s
            zone: %s
            http: {host: 127.0.0.1, port: %d}
            peer: {host: 127.0.0.1, port: %d, sharedKeyFile: peer.key}
            platform: {url: "%s"}
            callers:
              - {name: caller, role: CALLER, token: %s}
              - {name: trainer, role: TRAINER, token: %s}
              - {name: operator, role: OPERATOR, token: %s}
            deliveryKeys:
              - {id: one, key: %s}
            timing:
              vmListPollIntervalMs: 500
              configPollIntervalMs: 2000
            limits:
              platformCallsPerSecond: 200
            """,
            daemon.name(),
            daemon.zone().region(),
            daemon.zone().zone(),
            daemon.httpPort(),
            daemon.peerPort(),
            platformUrl,
            CALLER_TOKEN,
            TRAINER_TOKEN,
            OPERATOR_TOKEN,
            PEER_KEY);
    return Files.writeString(folder.resolve(daemon.name() + ".yaml"), text);
  }
}
