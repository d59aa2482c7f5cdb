package org.amaranthstream.bench.demo;

import com.google.common.collect.ImmutableList;
import java.net.URI;
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
import org.amaranthstream.standins.engine.EngineStandin;
import org.amaranthstream.standins.kv.KvStandin;
import org.amaranthstream.standins.kv.Vm;
import org.amaranthstream.standins.service.ServiceStandin;

/** Stand-ins and one daemon on loopback, all in this process. */
final class DemoFleet implements AutoCloseable {
  static final String CALLER_TOKEN = "demo-caller-token";
  static final String TRAINER_TOKEN = "demo-trainer-token";
  static final String OPERATOR_TOKEN = "demo-operator-token";

  private static final String HOST = "127.0.0.1";
  private static final String REGION = "lisboa";
  private static final String ZONE = "lisboa-a";
  private static final int ENGINES = 3;
  private static final int SLOTS = 16;
  private static final double TOKEN_INTERVAL_MS = 4;

  private final KvStandin kv;
  private final List<EngineStandin> engines = new ArrayList<>();
  private final ServiceStandin service;
  private final Daemon daemon;

  private DemoFleet() {
    this.kv = KvStandin.builder().start();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(EngineStandin.builder().slots(SLOTS).tokenIntervalMs(TOKEN_INTERVAL_MS).start());
    }
    this.service = ServiceStandin.builder().start();
    kv.setVms(vms());
    this.daemon = startDaemon();
  }

  static DemoFleet start() {
    return new DemoFleet();
  }

  private List<Vm> vms() {
    List<Vm> vms = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      vms.add(backend("engine-" + (i + 1), engines.get(i).port(), "coding"));
    }
    vms.add(backend("portal-1", service.port(), "portal"));
    return vms;
  }

  private static Vm backend(String name, int port, String pool) {
    return new Vm(name, "BACKEND", REGION, ZONE, HOST, port, pool, false);
  }

  private Daemon startDaemon() {
    Settings settings =
        Settings.builder()
            .identity(EntryVmId.of("lisboa-a-1"), RegionId.of(REGION), AvailabilityZoneId.of(ZONE))
            .http(ListenAddress.of(HOST, 0))
            .peer(
                new PeerSettings(
                    ListenAddress.of(HOST, 0),
                    new PeerSecurity.SharedKey(Secret.of("demo-shared-key-of-the-peer-links"))))
            .platform(new PlatformSettings(URI.create(kv.url()), Optional.empty()))
            .callers(credentials())
            .deliveryKeys(
                ImmutableList.of(new DeliveryKey("k1", Secret.of("demo-key-of-delivery-tokens"))))
            .build();
    Result<Daemon> started = Daemon.start(settings, PolicySet.standard());
    if (started instanceof Result.Success<Daemon> success) {
      return success.value();
    }
    throw new IllegalStateException(
        "daemon did not start: " + ((Result.Failure<Daemon>) started).error());
  }

  private static ImmutableList<Credential> credentials() {
    return ImmutableList.of(
        new Credential(CallerId.of("portal"), Role.CALLER, Secret.of(CALLER_TOKEN)),
        new Credential(CallerId.of("coder"), Role.TRAINER, Secret.of(TRAINER_TOKEN)),
        new Credential(CallerId.of("shift"), Role.OPERATOR, Secret.of(OPERATOR_TOKEN)));
  }

  String url() {
    return "http://" + HOST + ":" + daemon.httpPort();
  }

  ImmutableList<String> engineUrls() {
    return engines.stream().map(EngineStandin::url).collect(ImmutableList.toImmutableList());
  }

  @Override
  public void close() {
    daemon.close();
    engines.forEach(EngineStandin::close);
    service.close();
    kv.close();
  }
}
