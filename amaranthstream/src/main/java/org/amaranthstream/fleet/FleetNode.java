package org.amaranthstream.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthstream.fleet.wire.NodeRecord;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;

/**
 * The registration of a daemon.
 *
 * @param vm the entry VM
 * @param incarnation the incarnation of the process
 * @param host the IP address of its peer link
 * @param port the port of its peer link
 * @param zone its availability zone
 * @param region its region
 * @param cores the processor time that it has, in cores, empty if it is unknown
 */
public record FleetNode(
    EntryVmId vm,
    Incarnation incarnation,
    String host,
    int port,
    AvailabilityZoneId zone,
    RegionId region,
    OptionalDouble cores) {

  /** Creates the registration of a daemon whose processor time is unknown. */
  public FleetNode(
      EntryVmId vm,
      Incarnation incarnation,
      String host,
      int port,
      AvailabilityZoneId zone,
      RegionId region) {
    this(vm, incarnation, host, port, zone, region, OptionalDouble.empty());
  }

  byte[] encode() {
    NodeRecord.Builder node =
        NodeRecord.newBuilder()
            .setVm(vm.value())
            .setIncarnation(incarnation.value())
            .setHost(host)
            .setPort(port)
            .setZone(zone.value())
            .setRegion(region.value());
    cores.ifPresent(node::setCores);
    return node.build().toByteArray();
  }

  static Optional<FleetNode> decode(byte[] value) {
    try {
      NodeRecord node = NodeRecord.parseFrom(value);
      return Optional.of(
          new FleetNode(
              EntryVmId.of(node.getVm()),
              Incarnation.of(node.getIncarnation()),
              node.getHost(),
              node.getPort(),
              AvailabilityZoneId.of(node.getZone()),
              RegionId.of(node.getRegion()),
              node.hasCores() ? OptionalDouble.of(node.getCores()) : OptionalDouble.empty()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
