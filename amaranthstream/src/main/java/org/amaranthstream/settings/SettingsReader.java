package org.amaranthstream.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.auth.Credential;
import org.amaranthstream.auth.Role;
import org.amaranthstream.auth.Secret;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.yaml.MappingNode;

/** Converter of the top-level mapping of a settings file into {@link Settings}. */
final class SettingsReader {
  private static final int MIN_TOKEN_CHARS = 16;
  private static final int MIN_KEY_CHARS = 32;
  private static final String EXPECTED_NAME =
      "a name of 1 to 128 characters of A-Z a-z 0-9 . _ : -";

  private final SecretFiles files;

  SettingsReader(SecretFiles files) {
    this.files = files;
  }

  Settings read(MappingNode root) {
    Settings.Builder builder = Settings.builder();
    builder.identity(vm(root), region(root), zone(root));
    builder.http(httpAddress(root.mapping("http")));
    builder.peer(peer(root.mapping("peer")));
    builder.platform(platform(root.mapping("platform")));
    builder.peers(seeds(root));
    builder.callers(callers(root));
    builder.deliveryKeys(deliveryKeys(root));
    if (root.has("dataFolder")) {
      builder.dataFolder(files.writableFolder(root, "dataFolder"));
    }
    root.optionalMapping("limits").ifPresent(node -> builder.limits(limits(node)));
    root.optionalMapping("timing").ifPresent(node -> builder.timing(timing(node)));
    root.finish();
    return builder.build();
  }

  private static EntryVmId vm(MappingNode node) {
    return node.parsed("vm", EntryVmId::of, EXPECTED_NAME);
  }

  private static RegionId region(MappingNode node) {
    return node.parsed("region", RegionId::of, EXPECTED_NAME);
  }

  private static AvailabilityZoneId zone(MappingNode node) {
    return node.parsed("zone", AvailabilityZoneId::of, EXPECTED_NAME);
  }

  private static ListenAddress httpAddress(MappingNode node) {
    ListenAddress address = address(node, 0);
    node.finish();
    return address;
  }

  private static ListenAddress address(MappingNode node, int minPort) {
    String host = node.text("host");
    if (!InetAddresses.isInetAddress(host)) {
      throw node.problem("host", "an IP number");
    }
    return ListenAddress.of(host, node.integer("port", minPort, ListenAddress.MAX_PORT));
  }

  private PeerSettings peer(MappingNode node) {
    ListenAddress address = address(node, 0);
    boolean hasSharedKey = node.has("sharedKeyFile");
    Optional<MappingNode> tls = node.optionalMapping("tls");
    if (hasSharedKey == tls.isPresent()) {
      String found = hasSharedKey ? "both sharedKeyFile and tls" : "neither";
      throw node.problem("sharedKeyFile", found, "sharedKeyFile or tls");
    }
    PeerSecurity security =
        tls.isPresent()
            ? tls(tls.get())
            : new PeerSecurity.SharedKey(files.secretFile(node, "sharedKeyFile", MIN_KEY_CHARS));
    node.finish();
    return new PeerSettings(address, security);
  }

  private PeerSecurity tls(MappingNode node) {
    PeerSecurity security =
        new PeerSecurity.Tls(
            files.readableFile(node, "certificateFile"),
            files.readableFile(node, "privateKeyFile"),
            files.readableFile(node, "trustFile"));
    node.finish();
    return security;
  }

  private PlatformSettings platform(MappingNode node) {
    URI url = node.parsed("url", URI::create, "an http or https URL");
    boolean isHttp = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
    if (!isHttp || url.getHost() == null || url.getQuery() != null) {
      throw node.problem("url", "an http or https URL");
    }
    boolean isInline = node.has("token");
    boolean isFile = node.has("tokenFile");
    Optional<Secret> token =
        isInline || isFile
            ? Optional.of(files.secret(node, "token", "tokenFile", MIN_TOKEN_CHARS))
            : Optional.empty();
    node.finish();
    return new PlatformSettings(url, token);
  }

  private static ImmutableList<PeerSeed> seeds(MappingNode root) {
    Set<EntryVmId> names = new HashSet<>();
    ImmutableList.Builder<PeerSeed> seeds = ImmutableList.builder();
    for (MappingNode node : root.mappings("peers")) {
      EntryVmId vm = vm(node);
      if (!names.add(vm)) {
        throw node.problem("vm", "each entry VM once");
      }
      seeds.add(new PeerSeed(vm, region(node), zone(node), address(node, 1)));
      node.finish();
    }
    return seeds.build();
  }

  private ImmutableList<Credential> callers(MappingNode root) {
    Set<CallerId> names = new HashSet<>();
    Set<Secret> tokens = new HashSet<>();
    ImmutableList.Builder<Credential> callers = ImmutableList.builder();
    for (MappingNode node : root.mappings("callers")) {
      CallerId name = node.parsed("name", CallerId::of, EXPECTED_NAME);
      if (!names.add(name)) {
        throw node.problem("name", "each name once");
      }
      Role role = node.choice("role", Role.class);
      Secret token = files.secret(node, "token", "tokenFile", MIN_TOKEN_CHARS);
      if (!tokens.add(token)) {
        String key = node.has("token") ? "token" : "tokenFile";
        throw node.problem(key, "the token of another caller", "a token of its own");
      }
      node.finish();
      callers.add(new Credential(name, role, token));
    }
    return callers.build();
  }

  private ImmutableList<DeliveryKey> deliveryKeys(MappingNode root) {
    Set<String> ids = new HashSet<>();
    ImmutableList.Builder<DeliveryKey> keys = ImmutableList.builder();
    for (MappingNode node : root.mappings("deliveryKeys")) {
      String id = node.parsed("id", CallerId::of, EXPECTED_NAME).value();
      if (!ids.add(id)) {
        throw node.problem("id", "each id once");
      }
      keys.add(new DeliveryKey(id, files.secret(node, "key", "file", MIN_KEY_CHARS)));
      node.finish();
    }
    if (ids.isEmpty()) {
      throw root.problem("deliveryKeys", "at least one key with id and file or key");
    }
    return keys.build();
  }

  private static Limits limits(MappingNode node) {
    Limits.Builder limits = Limits.builder();
    for (LimitKey key : LimitKey.values()) {
      int value = node.integer(key.key(), key.min(), key.max(), key.defaultValue());
      if (!key.allows(value)) {
        throw node.problem(key.key(), "a power of two");
      }
      limits.set(key, value);
    }
    node.finish();
    return limits.build();
  }

  private static Timing timing(MappingNode node) {
    Timing.Builder builder = Timing.builder();
    for (TimingKey key : TimingKey.values()) {
      int millis = node.integer(key.key(), key.minMillis(), key.maxMillis(), key.defaultMillis());
      builder.set(key, Duration.ofMillis(millis));
    }
    node.finish();
    Timing timing = builder.build();
    Duration minSuspectTimeout = timing.heartbeatInterval().multipliedBy(2);
    if (timing.suspectTimeout().compareTo(minSuspectTimeout) < 0) {
      throw node.problem(
          TimingKey.SUSPECT_TIMEOUT.key(),
          timing.suspectTimeout().toMillis() + " ms",
          "at least two heartbeat intervals, " + minSuspectTimeout.toMillis() + " ms");
    }
    return timing;
  }
}
