package org.amaranthstream.bench.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Settings files of a cluster's daemons, and the operators' configuration. */
final class ClusterFiles {
  static final String CALLER_TOKEN = "caller-token-of-the-bench";
  static final String TRAINER_TOKEN = "trainer-token-of-the-bench";
  static final String OPERATOR_TOKEN = "operator-token-of-the-bench";
  static final String MODEL_POOL = "engines";
  static final String SERVICE_POOL = "services";

  private static final String PEER_KEY = "0123456789abcdef0123456789abcdef";

  private ClusterFiles() {}

  /** Writes the key that all settings name; before any daemon starts, for they read it at once. */
  static void writePeerKey(Path folder) throws IOException {
    Files.writeString(folder.resolve("peer.key"), PEER_KEY);
  }

  /** Writes the settings of a daemon and returns their file. */
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
