package org.amaranthstream.calls;

import com.google.common.collect.ImmutableMap;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Simulated servers in virtual time. A server that runs the crashing content ends after a while,
 * and with it all other requests that it runs; it starts again as a new incarnation.
 */
final class CrashingServers implements CallTransport {
  static final ServiceId SERVICE = ServiceId.of("portal");
  static final String CRASHING_BODY = "crash";
  private static final Duration RESPONSE_TIME = Duration.ofMillis(36);
  private static final Duration CRASH_TIME = Duration.ofMillis(100);
  private static final Duration RESTART_TIME = Duration.ofMillis(1_500);
  private static final Duration LATE_REGISTRATION = Duration.ofMillis(700);

  private final TimerService timers;
  private final List<ServerDirectory> directories;
  private final Map<BackendServerId, Long> incarnations = new HashMap<>();
  private final Map<BackendServerId, List<Run>> runs = new HashMap<>();
  private final Set<BackendServerId> down = new HashSet<>();
  private final List<String> started = new ArrayList<>();
  private int crashes;
  private boolean resetsConnections;
  private boolean keepsIds;

  CrashingServers(TimerService timers, List<ServerDirectory> directories) {
    this.timers = timers;
    this.directories = directories;
  }

  void start(String name) {
    BackendServerId id = BackendServerId.of(name);
    down.remove(id);
    long incarnation = incarnations.merge(id, 1L, Long::sum);
    if (keepsIds) {
      timers.after(LATE_REGISTRATION, () -> register(id, incarnation));
    } else {
      register(id, incarnation);
    }
  }

  private void register(BackendServerId id, long incarnation) {
    ServerRegistration registration =
        new ServerRegistration(
            id,
            incarnation,
            SERVICE,
            SoftwareVersion.of("v1"),
            "10.0.0.9",
            8080,
            AvailabilityZoneId.of("a"),
            6,
            false,
            ImmutableMap.of());
    directories.forEach(directory -> directory.onRegistration(registration));
  }

  /**
   * Makes restarted servers respond under the id that they had, before their registration is known.
   */
  void setKeepsIds(boolean keepsIds) {
    this.keepsIds = keepsIds;
  }

  /** Makes the servers lose the connection of each request, and stay alive. */
  void setResetsConnections(boolean resetsConnections) {
    this.resetsConnections = resetsConnections;
  }

  int crashes() {
    return crashes;
  }

  /** Returns how often requests with this id were started. */
  long runsOf(String requestId) {
    return started.stream().filter(requestId::equals).count();
  }

  @Override
  public Attempt send(
      TrackedServer server, OutboundCall call, Duration timeLeft, AttemptListener listener) {
    Run run = new Run(server, call, listener);
    timers.after(Duration.ofMillis(1), run::begin);
    return run;
  }

  /** Crashes the servers that run a request with this id, for a reason of their own. */
  void crashServersOf(String requestId) {
    List<BackendServerId> crashed =
        runs.entrySet().stream()
            .filter(entry -> entry.getValue().stream().anyMatch(run -> run.isOf(requestId)))
            .map(Map.Entry::getKey)
            .toList();
    crashed.forEach(this::crash);
  }

  private void crash(BackendServerId id) {
    crashes++;
    down.add(id);
    List<Run> lost = runs.remove(id);
    lost.forEach(Run::lose);
    timers.after(RESTART_TIME, () -> start(id.value()));
  }

  private final class Run implements Attempt {
    private final TrackedServer server;
    private final OutboundCall call;
    private final AttemptListener listener;
    private boolean isOver;

    private Run(TrackedServer server, OutboundCall call, AttemptListener listener) {
      this.server = server;
      this.call = call;
      this.listener = listener;
    }

    private boolean isOf(String requestId) {
      return call.id().equals(requestId);
    }

    private void begin() {
      if (isOver) {
        return;
      }
      if (down.contains(server.id())) {
        isOver = true;
        listener.onFailed(new AttemptFailure.NotSent("connection refused"));
        return;
      }
      boolean isKnown = server.registration().startMillis() == incarnations.get(server.id());
      if (!isKnown && !keepsIds) {
        isOver = true;
        listener.onFailed(new AttemptFailure.ServerReplaced());
        return;
      }
      started.add(call.id());
      if (resetsConnections) {
        lose();
        return;
      }
      runs.computeIfAbsent(server.id(), unused -> new ArrayList<>()).add(this);
      if (call.body().toString().equals(CRASHING_BODY)) {
        timers.after(CRASH_TIME, this::crashServer);
      } else {
        timers.after(RESPONSE_TIME, this::respond);
      }
    }

    /** The server crashes even if the daemon has cancelled the request meanwhile. */
    private void crashServer() {
      if (runs.getOrDefault(server.id(), List.of()).contains(this)) {
        crash(server.id());
      }
    }

    private void lose() {
      if (!isOver) {
        isOver = true;
        listener.onFailed(new AttemptFailure.ConnectionLost("connection closed"));
      }
    }

    private void respond() {
      if (isOver) {
        return;
      }
      isOver = true;
      runs.get(server.id()).remove(this);
      listener.onHead(
          new ResponseHead(
              HttpStatus.of(200),
              MultiMap.caseInsensitiveMultiMap(),
              OptionalLong.empty(),
              Optional.of("seal")));
      listener.onData(Buffer.buffer("ok"));
      listener.onEnd();
    }

    @Override
    public void cancel() {
      isOver = true;
    }

    @Override
    public void setPaused(boolean isPaused) {}
  }
}
