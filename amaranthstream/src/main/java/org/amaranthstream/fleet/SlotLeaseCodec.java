package org.amaranthstream.fleet;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import org.amaranthstream.fleet.wire.SlotAnswer;
import org.amaranthstream.fleet.wire.SlotCall;
import org.amaranthstream.fleet.wire.SlotDemandRecord;
import org.amaranthstream.fleet.wire.SlotLeaseRecord;
import org.amaranthstream.fleet.wire.SlotUseRecord;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.slots.ServerKey;
import org.amaranthstream.slots.SlotDemand;
import org.amaranthstream.slots.SlotLease;
import org.amaranthstream.slots.SlotRequest;
import org.amaranthstream.slots.SlotUse;

/**
 * Encoding of the messages about leases of slots. The decoders throw {@link
 * InvalidProtocolBufferException} or {@link IllegalArgumentException} for malformed messages.
 */
final class SlotLeaseCodec {
  private SlotLeaseCodec() {}

  /** Leases, with the time for which they are valid after their request was sent. */
  record Leases(ImmutableList<SlotLease> leases, Duration validity) {}

  static byte[] encodeRequest(SlotRequest request) {
    SlotCall.Builder call = SlotCall.newBuilder();
    request.demands().forEach(demand -> call.addDemand(encodeDemand(demand)));
    for (SlotUse use : request.uses()) {
      call.addUse(
          SlotUseRecord.newBuilder()
              .setServer(use.server().id().value())
              .setStartMillis(use.server().startMillis())
              .setRunning(use.running())
              .setLeased(use.leased()));
    }
    return call.build().toByteArray();
  }

  private static SlotDemandRecord encodeDemand(SlotDemand demand) {
    SlotDemandRecord.Builder builder =
        SlotDemandRecord.newBuilder()
            .setSharer(demand.sharer())
            .setPriority(demand.priority())
            .setModel(demand.model().value())
            .setMinVersion(demand.minVersion().value())
            .setRunning(demand.running())
            .setWaiting(demand.waiting())
            .setLate(demand.isLate());
    demand.services().forEach(service -> builder.addService(service.value()));
    return builder.build();
  }

  static SlotRequest decodeRequest(byte[] body) throws InvalidProtocolBufferException {
    SlotCall call = SlotCall.parseFrom(body);
    return new SlotRequest(
        call.getDemandList().stream().map(SlotLeaseCodec::decodeDemand).collect(toImmutableList()),
        call.getUseList().stream().map(SlotLeaseCodec::decodeUse).collect(toImmutableList()));
  }

  private static SlotDemand decodeDemand(SlotDemandRecord demand) {
    return new SlotDemand(
        demand.getSharer(),
        demand.getPriority(),
        demand.getServiceList().stream().map(ServiceId::of).collect(toImmutableSet()),
        ModelId.of(demand.getModel()),
        WeightVersion.of(demand.getMinVersion()),
        demand.getRunning(),
        demand.getWaiting(),
        demand.getLate());
  }

  private static SlotUse decodeUse(SlotUseRecord use) {
    ServerKey server = new ServerKey(BackendServerId.of(use.getServer()), use.getStartMillis());
    return new SlotUse(server, use.getRunning(), use.getLeased());
  }

  static byte[] encodeLeases(Leases leases) {
    SlotAnswer.Builder answer = SlotAnswer.newBuilder().setValidMs(leases.validity().toMillis());
    for (SlotLease lease : leases.leases()) {
      answer.addLease(
          SlotLeaseRecord.newBuilder()
              .setServer(lease.server().id().value())
              .setStartMillis(lease.server().startMillis())
              .setSlots(lease.slots()));
    }
    return answer.build().toByteArray();
  }

  static Leases decodeLeases(byte[] body) throws InvalidProtocolBufferException {
    SlotAnswer answer = SlotAnswer.parseFrom(body);
    return new Leases(
        answer.getLeaseList().stream().map(SlotLeaseCodec::decodeLease).collect(toImmutableList()),
        Duration.ofMillis(answer.getValidMs()));
  }

  private static SlotLease decodeLease(SlotLeaseRecord lease) {
    ServerKey server = new ServerKey(BackendServerId.of(lease.getServer()), lease.getStartMillis());
    return new SlotLease(server, lease.getSlots());
  }
}
