package org.amaranthstream.bench.experiment;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.standins.kv.Vm;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;
import org.amaranthstream.standins.server.Json;

/**
 * The daemons and stand-ins of one user, run as processes on loopback. Links with latencies and
 * faults connect the zones.
 *
 * <p>Confined to the thread that starts it. {@link #close} kills the processes.
 */
final class Cluster implements AutoCloseable {
  static final String HOST = "127.0.0.1";

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration READY_POLL_INTERVAL = Duration.ofMillis(100);

  private final User user;
  private final Path folder;
  private final Vertx vertx = Vertx.vertx();
  private final BlockingHttpClient http = new BlockingHttpClient(Optional.empty());
  private final List<AutoCloseable> standins = new ArrayList<>();
  private final List<BackendProcess> engines = new ArrayList<>();
  private final List<BackendProcess> services = new ArrayList<>();
  private final List<DaemonSpec> daemons = new ArrayList<>();
  private final List<JavaProcess> daemonProcesses = new ArrayList<>();
  private final ClusterLinks links;
  private String kvUrl = "";

  private Cluster(User user, Path folder) {
    this.user = user;
    this.folder = folder;
    this.links = new ClusterLinks(user, vertx);
  }

  /** Starts the key-value service and the backend servers. */
  static Cluster startBackends(User user, Path folder) throws IOException {
    Files.createDirectories(folder);
    Cluster cluster = new Cluster(user, folder);
    JavaProcess kv = cluster.startStandin("kv", List.of("kv"));
    for (ZoneSpec zone : user.zones()) {
      cluster.startZone(zone);
    }
    cluster.kvUrl = "http://" + HOST + ":" + kv.startedPort();
    return cluster;
  }

  /**
   * Starts the daemons with a policy, writes their configuration and waits until they are ready.
   */
  void startDaemons(Policy policy) throws IOException {
    List<Integer> ports = FreePorts.take(2 * daemonCount());
    int nextPort = 0;
    for (ZoneSpec zone : user.zones()) {
      for (int i = 0; i < zone.entryVms(); i++) {
        String name = "entry-" + zone.zone() + "-" + i;
        daemons.add(new DaemonSpec(name, zone, ports.get(nextPort), ports.get(nextPort + 1)));
        nextPort += 2;
      }
    }
    links.open(daemons, kvUrl);
    publishVmLists();
    ClusterFiles.writePeerKey(folder);
    for (DaemonSpec daemon : daemons) {
      startDaemon(daemon, policy);
    }
    awaitAll("/healthz");
    putConfig();
    awaitAll("/readyz");
  }

  List<String> daemonUrls() {
    return daemons.stream().map(DaemonSpec::url).toList();
  }

  /** Returns the process of the daemon at an index of {@link #daemonUrls}. */
  JavaProcess daemonProcess(int index) {
    return daemonProcesses.get(index);
  }

  List<BackendProcess> engines() {
    return engines;
  }

  List<BackendProcess> services() {
    return services;
  }

  ClusterLinks links() {
    return links;
  }

  String kvUrl() {
    return kvUrl;
  }

  /** Returns the processor time that the daemons have used, in ms. */
  long daemonProcessorMs() {
    return daemonProcesses.stream().mapToLong(JavaProcess::processorMs).sum();
  }

  /**
   * Sets fault switches of a stand-in.
   *
   * @param switches a JSON object of switch names and values
   */
  void control(String url, String switches) throws IOException {
    HttpResponse response = http.call(HttpMethod.POST, url + "/v1/control", switches, TIMEOUT);
    if (!response.isSuccess()) {
      throw new IOException("stand-in " + url + " rejected the switches: " + response.body());
    }
  }

  /** Reads the ledger of a stand-in. */
  Ledger ledger(String url) throws IOException {
    HttpResponse response = http.call(HttpMethod.GET, url + "/v1/ledger", "", TIMEOUT);
    return Json.read(response.body(), Ledger.class);
  }

  @Override
  public void close() {
    daemonProcesses.forEach(JavaProcess::close);
    for (AutoCloseable standin : standins) {
      closeUnchecked(standin);
    }
    links.close();
    http.close();
    vertx.close();
  }

  private static void closeUnchecked(AutoCloseable standin) {
    try {
      standin.close();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private int daemonCount() {
    return user.zones().stream().mapToInt(ZoneSpec::entryVms).sum();
  }

  private void startZone(ZoneSpec zone) throws IOException {
    for (int i = 0; i < zone.engines(); i++) {
      String name = "engine-" + zone.zone() + "-" + i;
      JavaProcess process = startStandin(name, engineArguments());
      engines.add(new BackendProcess(name, ClusterFiles.MODEL_POOL, zone, process));
    }
    for (int i = 0; i < zone.services(); i++) {
      String name = "service-" + zone.zone() + "-" + i;
      List<String> arguments = List.of("service", "--service-ms", "" + user.serviceMs());
      services.add(
          new BackendProcess(name, ClusterFiles.SERVICE_POOL, zone, startStandin(name, arguments)));
    }
  }

  private static List<String> engineArguments() {
    return List.of(
        "engine",
        "--slots",
        "" + Workload.ENGINE_SLOTS,
        "--max-batch",
        "" + Workload.ENGINE_SLOTS,
        "--token-interval-ms",
        "" + Workload.TOKEN_INTERVAL_MS,
        "--tokens-per-chunk",
        "" + Workload.TOKENS_PER_CHUNK,
        "--prefill-ms",
        "" + Workload.PREFILL_MS,
        "--swap-ms",
        "" + Workload.SWAP_MS,
        "--report-lag-ms",
        "" + Workload.REPORT_LAG_MS);
  }

  private JavaProcess startStandin(String name, List<String> arguments) throws IOException {
    Path log = folder.resolve(name + ".log");
    JavaProcess process =
        JavaProcess.start(name, org.amaranthstream.standins.Main.class, arguments, log);
    standins.add(process);
    return process;
  }

  private void startDaemon(DaemonSpec daemon, Policy policy) throws IOException {
    String platformUrl = links.platformUrl(daemon.zone());
    Path settings = ClusterFiles.writeSettings(folder, daemon, platformUrl);
    Path log = folder.resolve(daemon.name() + ".log");
    List<String> arguments = List.of(settings.toString(), policy.name());
    daemonProcesses.add(JavaProcess.start(daemon.name(), ExperimentDaemon.class, arguments, log));
  }

  /** Sets the VM list of each zone, with the addresses at which it reaches the other zones. */
  private void publishVmLists() throws IOException {
    Map<String, List<Vm>> byReader = new HashMap<>();
    for (ZoneSpec reader : user.zones()) {
      List<Vm> vms = new ArrayList<>();
      engines.forEach(engine -> vms.add(engine.vm()));
      services.forEach(service -> vms.add(service.vm()));
      daemons.forEach(daemon -> vms.add(links.vmSeenFrom(reader, daemon)));
      byReader.put(links.sourceHost(reader), vms);
    }
    control(kvUrl, Json.text(new VmLists(byReader)));
  }

  private void putConfig() throws IOException {
    String yaml = ClusterConfig.yaml(user);
    AdminClient admin = new AdminClient(daemons.get(0).url());
    admin.putConfig(yaml);
  }

  private void awaitAll(String path) throws IOException {
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
    for (DaemonSpec daemon : daemons) {
      while (!succeeds(daemon.url() + path)) {
        if (System.nanoTime() - deadlineNanos > 0) {
          throw new IOException(
              daemon.name() + " did not respond to " + path + " with a 2xx status");
        }
        http.pause(READY_POLL_INTERVAL);
      }
    }
  }

  private boolean succeeds(String url) {
    try {
      return http.call(HttpMethod.GET, url, "", TIMEOUT).isSuccess();
    } catch (IOException e) {
      return false;
    }
  }

  record VmLists(Map<String, List<Vm>> vmsByReader) {}
}
