package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.calls.AttemptFailure;
import org.amaranthstream.calls.AttemptListener;
import org.amaranthstream.calls.OutboundCall;
import org.amaranthstream.calls.RelayedCall;
import org.amaranthstream.calls.ResponseHead;
import org.amaranthstream.fleet.wire.CallHead;
import org.amaranthstream.fleet.wire.CallPart;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.peer.ExchangeListener;
import org.amaranthstream.peer.PeerExchange;
import org.amaranthstream.peer.PeerExchanges;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of peers that are no valid responses. */
class FleetCallRelayTest {
  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final List<String> events = new ArrayList<>();
  private final List<ExchangeListener> exchanges = new ArrayList<>();

  private static FleetNode node(String vm) {
    return new FleetNode(
        EntryVmId.of(vm),
        Incarnation.of("i1"),
        "10.0.0.1",
        7000,
        AvailabilityZoneId.of("a"),
        RegionId.of("r"));
  }

  /** Exchanges whose responses the test gives. */
  private final class RecordedExchanges implements PeerExchanges {
    @Override
    public boolean isReady(EntryVmId vm) {
      return true;
    }

    @Override
    public void prepare(EntryVmId vm) {}

    @Override
    public PeerExchange start(
        EntryVmId vm, byte[] request, Duration timeLeft, ExchangeListener listener) {
      exchanges.add(listener);
      return new PeerExchange() {
        @Override
        public void cancel() {}

        @Override
        public void setPaused(boolean isPaused) {}
      };
    }
  }

  private final class RecordedAttempt implements AttemptListener {
    @Override
    public void onHead(ResponseHead head) {
      events.add("head " + head.status());
    }

    @Override
    public void onData(Buffer data) {
      events.add("data");
    }

    @Override
    public void onEnd() {
      events.add("end");
    }

    @Override
    public void onFailed(AttemptFailure failure) {
      events.add(failure.mayHaveRun() ? "unknown" : "not run");
    }
  }

  @BeforeEach
  void relayCall() {
    Fleet fleet = Fleet.create(store.client(), timers);
    final FleetCallRelay relay =
        FleetCallRelay.create(
            node("vm-1"), fleet, () -> Optional.of(new RecordedExchanges()), timers, () -> 1);
    fleet.start();
    FleetSession.create(store.client(), timers, InstantSource.system(), node("vm-2"))
        .start(() -> {});
    timers.advance(Duration.ofSeconds(1));
    OutboundCall call =
        new OutboundCall(
            "r1",
            "POST",
            "/x",
            MultiMap.caseInsensitiveMultiMap(),
            Buffer.buffer(),
            Optional.empty(),
            Optional.empty());
    relay.send(
        new RelayedCall(call, 1, false, ImmutableSet.of()),
        Duration.ofSeconds(1),
        new RecordedAttempt());
  }

  private ExchangeListener response() {
    return exchanges.get(0);
  }

  private static byte[] head(int status) {
    return CallPart.newBuilder()
        .setHead(CallHead.newBuilder().setStatus(status))
        .build()
        .toByteArray();
  }

  private static byte[] data() {
    return CallPart.newBuilder().setData(ByteString.copyFromUtf8("x")).build().toByteArray();
  }

  @Test
  void arePassedOnIfTheyAreWhole() {
    response().onPart(head(200));
    response().onPart(data());
    response().onEnd();

    assertThat(events).containsExactly("head 200", "data", "end").inOrder();
  }

  /** Protobuf reads a field that is missing as 0. */
  @ParameterizedTest
  @ValueSource(ints = {0, 99, 600})
  void areInvalidWithoutStatusOfHttp(int status) {
    assertThrows(IllegalArgumentException.class, () -> response().onPart(head(status)));
    assertThat(events).isEmpty();
  }

  @Test
  void areInvalidIfTheBodyPrecedesTheHead() {
    assertThrows(IllegalArgumentException.class, () -> response().onPart(data()));
  }

  @Test
  void areInvalidWithSecondHead() {
    response().onPart(head(200));
    assertThrows(IllegalArgumentException.class, () -> response().onPart(head(200)));
  }

  /** Guards against a call that may have run, and times out as "not run". */
  @Test
  void leaveTheOutcomeUnknownIfTheyEndWithoutHead() {
    response().onEnd();
    assertThat(events).containsExactly("unknown");
  }
}
