package org.amaranthstream.bench.embedded;

import com.google.common.collect.ImmutableList;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.auth.Credential;
import org.amaranthstream.auth.Role;
import org.amaranthstream.auth.Secret;
import org.amaranthstream.daemon.Daemon;
import org.amaranthstream.daemon.PolicySet;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.DeliveryKey;
import org.amaranthstream.settings.ListenAddress;
import org.amaranthstream.settings.PeerSecurity;
import org.amaranthstream.settings.PeerSettings;
import org.amaranthstream.settings.PlatformSettings;
import org.amaranthstream.settings.Settings;
import org.amaranthstream.settings.Timing;
import org.amaranthstream.settings.TimingKey;
import org.amaranthstream.standins.engine.EngineStandin;
import org.amaranthstream.standins.kv.KvStandin;
import org.amaranthstream.standins.kv.Vm;
import org.amaranthstream.standins.service.ServiceStandin;

/** Stand-ins and daemons of one availability zone, on loopback in the process of the test. */
final class EmbeddedFleet implements AutoCloseable {
  static final String CALLER_TOKEN = "caller-token";
  static final String TRAINER_TOKEN = "trainer-token";
  static final String OPERATOR_TOKEN = "operator-token";

  private static final String HOST = "127.0.0.1";
  private static final String REGION = "lisboa";
  private static final String ZONE = "lisboa-a";

  final KvStandin kv = KvStandin.builder().start();
  final List<EngineStandin> engines = new ArrayList<>();
  final ServiceStandin service = ServiceStandin.builder().serviceMs(20).start();
  final List<Daemon> daemons = new ArrayList<>();
  private final List<Vm> vms = new ArrayList<>();

  private EmbeddedFleet(int engineCount, int daemonCount) {
    for (int i = 0; i < engineCount; i++) {
      EngineStandin engine = EngineStandin.builder().slots(8).tokenIntervalMs(5).start();
      engines.add(engine);
      vms.add(new Vm("e" + i, "BACKEND", REGION, ZONE, HOST, engine.port(), "coding", false));
    }
    vms.add(new Vm("s0", "BACKEND", REGION, ZONE, HOST, service.port(), "portal", false));
    kv.setVms(vms);
    for (int i = 0; i < daemonCount; i++) {
      addDaemon("vm-" + i);
    }
    new FleetClient(url(0)).putConfig();
    daemons.forEach(daemon -> new FleetClient(url(daemon)).awaitServing());
  }

  static EmbeddedFleet start(int engines, int daemons) {
    return new EmbeddedFleet(engines, daemons);
  }

  /** Starts a daemon and adds it to the VM list. */
  Daemon addDaemon(String name) {
    Result<Daemon> started = Daemon.start(settings(name), PolicySet.standard());
    if (!(started instanceof Result.Success<Daemon> success)) {
      throw new IllegalStateException(started.toString());
    }
    Daemon daemon = success.value();
    daemons.add(daemon);
    vms.add(new Vm(name, "ENTRY", REGION, ZONE, HOST, daemon.peerPort(), null, false));
    kv.setVms(vms);
    return daemon;
  }

  /** Marks a backend server as leaving in the VM list of the platform. */
  void markLeaving(String name) {
    vms.replaceAll(
        vm ->
            vm.name().equals(name)
                ? new Vm(
                    vm.name(),
                    vm.kind(),
                    vm.region(),
                    vm.zone(),
                    vm.host(),
                    vm.port(),
                    vm.pool(),
                    true)
                : vm);
    kv.setVms(vms);
  }

  String url(int daemon) {
    return url(daemons.get(daemon));
  }

  static String url(Daemon daemon) {
    return "http://" + HOST + ":" + daemon.httpPort();
  }

  FleetClient client(int daemon) {
    return new FleetClient(url(daemon));
  }

  private Settings settings(String name) {
    Secret peerKey = Secret.of("the-shared-key-of-the-peer-links-0");
    return Settings.builder()
        .identity(EntryVmId.of(name), RegionId.of(REGION), AvailabilityZoneId.of(ZONE))
        .http(ListenAddress.of(HOST, 0))
        .peer(new PeerSettings(ListenAddress.of(HOST, 0), new PeerSecurity.SharedKey(peerKey)))
        .platform(new PlatformSettings(URI.create(kv.url()), Optional.empty()))
        .callers(
            ImmutableList.of(
                new Credential(CallerId.of("portal"), Role.CALLER, Secret.of(CALLER_TOKEN)),
                new Credential(CallerId.of("coder"), Role.TRAINER, Secret.of(TRAINER_TOKEN)),
                new Credential(CallerId.of("shift"), Role.OPERATOR, Secret.of(OPERATOR_TOKEN))))
        .deliveryKeys(
            ImmutableList.of(new DeliveryKey("k1", Secret.of("key-of-the-delivery-tokens"))))
        .timing(
            Timing.builder()
                .set(TimingKey.VM_LIST_POLL_INTERVAL, Duration.ofMillis(100))
                .set(TimingKey.LOAD_POLL_INTERVAL, Duration.ofMillis(100))
                .set(TimingKey.HEARTBEAT_INTERVAL, Duration.ofMillis(100))
                .set(TimingKey.DRAIN_LAG, Duration.ofMillis(300))
                .build())
        .build();
  }

  @Override
  public void close() {
    daemons.forEach(Daemon::close);
    engines.forEach(EngineStandin::close);
    service.close();
    kv.close();
  }
}
