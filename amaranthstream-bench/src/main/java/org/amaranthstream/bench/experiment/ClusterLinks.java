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

/**
 * Links between the zones of a cluster and from each zone to the platform, with the latencies of
 * one user. Confined to one thread.
 */
final class ClusterLinks implements AutoCloseable {
  private final User user;
  private final Vertx vertx;
  private final Map<ZoneSpec, LinkStandin> platformLinks = new HashMap<>();
  private final List<PeerLink> peerLinks = new ArrayList<>();

  ClusterLinks(User user, Vertx vertx) {
    this.user = user;
    this.vertx = vertx;
  }

  /** Opens the links of every zone to the platform and to the daemons of the other zones. */
  void open(List<DaemonSpec> daemons, String kvUrl) {
    ZoneSpec platformZone = user.zones().get(0);
    for (ZoneSpec zone : user.zones()) {
      LinkStandin link =
          LinkStandin.builder(vertx)
              .target(Cluster.HOST, URI.create(kvUrl).getPort())
              .sourceHost(sourceHost(zone))
              .latencyMs(zone.equals(platformZone) ? 0 : user.latencyMs(zone, platformZone))
              .start();
      platformLinks.put(zone, link);
      daemons.stream()
          .filter(daemon -> !daemon.zone().equals(zone))
          .forEach(daemon -> peerLinks.add(openPeerLink(zone, daemon)));
    }
  }

  String platformUrl(ZoneSpec zone) {
    return "http://" + Cluster.HOST + ":" + platformLinks.get(zone).port();
  }

  /** Returns the source address of the connections of a zone to the platform. */
  String sourceHost(ZoneSpec zone) {
    return "127.0.1." + (1 + user.zones().indexOf(zone));
  }

  /** Returns the VM list entry of a daemon with the port at which a zone reaches it. */
  Vm vmSeenFrom(ZoneSpec zone, DaemonSpec daemon) {
    int port =
        peerLinks.stream()
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

  /** Sets the state of all links between a zone and the other zones and the platform. */
  void setState(ZoneSpec zone, LinkState state) {
    platformLinks.get(zone).setState(state);
    peerLinks.stream()
        .filter(link -> link.from().equals(zone) || link.to().zone().equals(zone))
        .forEach(link -> link.link().setState(state));
  }

  /** Returns the number of bytes sent between regions, which is paid traffic. */
  long paidBytes() {
    long peers =
        peerLinks.stream()
            .filter(link -> !link.from().region().equals(link.to().zone().region()))
            .mapToLong(link -> link.link().forwardedBytes())
            .sum();
    String platformRegion = user.zones().get(0).region();
    long platform =
        platformLinks.entrySet().stream()
            .filter(link -> !link.getKey().region().equals(platformRegion))
            .mapToLong(link -> link.getValue().forwardedBytes())
            .sum();
    return peers + platform;
  }

  @Override
  public void close() {
    platformLinks.values().forEach(LinkStandin::close);
    peerLinks.forEach(link -> link.link().close());
  }

  private PeerLink openPeerLink(ZoneSpec from, DaemonSpec to) {
    LinkStandin link =
        LinkStandin.builder(vertx)
            .target(Cluster.HOST, to.peerPort())
            .latencyMs(user.latencyMs(from, to.zone()))
            .start();
    return new PeerLink(from, to, link);
  }

  private record PeerLink(ZoneSpec from, DaemonSpec to, LinkStandin link) {}
}
