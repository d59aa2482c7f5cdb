package org.amaranthstream.bench.experiment;

import io.vertx.core.Vertx;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.standins.kv.Vm;
import org.amaranthstream.standins.link.LinkStandin;
import org.amaranthstream.standins.link.LinkState;

/** The links between the zones of a cluster and to the platform. One thread. */
final class ClusterLinks implements AutoCloseable {
  private final User user;
  private final Vertx vertx;
  private final Map<ZoneSpec, LinkStandin> toPlatform = new HashMap<>();
  private final List<PeerLink> toPeers = new ArrayList<>();

  ClusterLinks(User user, Vertx vertx) {
    this.user = user;
    this.vertx = vertx;
  }

  /** Opens the links of every zone to the platform and to the daemons of the others. */
  void open(List<DaemonSpec> daemons, String kvUrl) {
    ZoneSpec platformZone = user.zones().get(0);
    for (ZoneSpec zone : user.zones()) {
      LinkStandin link =
          LinkStandin.builder(vertx)
              .target(Cluster.HOST, URI.create(kvUrl).getPort())
              .sourceHost(sourceHost(zone))
              .latencyMs(zone.equals(platformZone) ? 0 : user.latencyMs(zone, platformZone))
              .start();
      toPlatform.put(zone, link);
      daemons.stream()
          .filter(daemon -> !daemon.zone().equals(zone))
          .forEach(daemon -> toPeers.add(peerLink(zone, daemon)));
    }
  }

  String platformUrl(ZoneSpec zone) {
    return "http://" + Cluster.HOST + ":" + toPlatform.get(zone).port();
  }

  /** Returns the address that the platform sees a zone's connections come from. */
  String sourceHost(ZoneSpec zone) {
    return "127.0.1." + (1 + user.zones().indexOf(zone));
  }

  /** Returns a daemon as a zone reaches it. */
  Vm seenFrom(ZoneSpec zone, DaemonSpec daemon) {
    int port =
        toPeers.stream()
            .filter(link -> link.from().equals(zone) && link.to().equals(daemon))
            .mapToInt(link -> link.link().port())
            .findFirst()
            .orElse(daemon.peerPort());
    return new Vm(
        daemon.name(),
        "ENTRY",
        daemon.zone().region(),
        daemon.zone().zone(),
        Cluster.HOST,
        port,
        null,
        false);
  }

  /** Cuts a zone off from the others and from the platform, or joins it again. */
  void set(ZoneSpec zone, LinkState state) {
    toPlatform.get(zone).set(state);
    toPeers.stream()
        .filter(link -> link.from().equals(zone) || link.to().zone().equals(zone))
        .forEach(link -> link.link().set(state));
  }

  /** Returns the bytes between regions, which are paid. */
  long paidBytes() {
    long peers =
        toPeers.stream()
            .filter(link -> !link.from().region().equals(link.to().zone().region()))
            .mapToLong(link -> link.link().bytes())
            .sum();
    String platformRegion = user.zones().get(0).region();
    long platform =
        toPlatform.entrySet().stream()
            .filter(link -> !link.getKey().region().equals(platformRegion))
            .mapToLong(link -> link.getValue().bytes())
            .sum();
    return peers + platform;
  }

  @Override
  public void close() {
    toPlatform.values().forEach(LinkStandin::close);
    toPeers.forEach(link -> link.link().close());
  }

  private PeerLink peerLink(ZoneSpec from, DaemonSpec to) {
    LinkStandin link =
        LinkStandin.builder(vertx)
            .target(Cluster.HOST, to.peerPort())
            .latencyMs(user.latencyMs(from, to.zone()))
            .start();
    return new PeerLink(from, to, link);
  }

  private record PeerLink(ZoneSpec from, DaemonSpec to, LinkStandin link) {}
}
