package org.amaranthstream.calls;

import com.google.common.collect.ImmutableMap;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/** Simulated servers in virtual time whose streams stay open until they are broken off. */
final class StreamingServers implements CallTransport {
  static final ServiceId SERVICE = ServiceId.of("engine");
  private static final Duration FIRST_EVENT = Duration.ofMillis(20);

  private final TimerService timers;
  private final Map<String, TrackedServer> servers = new HashMap<>();
  private final List<AttemptListener> open = new ArrayList<>();
  private boolean losesNext;

  StreamingServers(TimerService timers) {
    this.timers = timers;
  }

  static ServerRegistration registration(String id, long startMillis, String software) {
    return new ServerRegistration(
        BackendServerId.of(id),
        startMillis,
        SERVICE,
        SoftwareVersion.of(software),
        "10.0.0.9",
        8080,
        AvailabilityZoneId.of("a"),
        6,
        false,
        ImmutableMap.of());
  }

  /** Returns the software of the server that got the request last, empty if none did. */
  Optional<String> softwareOf(String requestId) {
    return Optional.ofNullable(servers.get(requestId))
        .map(server -> server.registration().softwareVersion().value());
  }

  /** Breaks off all open streams. */
  void breakOff() {
    List<AttemptListener> broken = List.copyOf(open);
    open.clear();
    broken.forEach(
        listener -> listener.onFailed(new AttemptFailure.ConnectionLost("connection closed")));
  }

  /** Makes the next request lose its connection before the response begins. */
  void loseNextRequest() {
    losesNext = true;
  }

  @Override
  public Attempt send(
      TrackedServer server, OutboundCall call, Duration timeLeft, AttemptListener listener) {
    servers.put(call.id(), server);
    if (losesNext) {
      losesNext = false;
      timers.after(
          FIRST_EVENT,
          () -> listener.onFailed(new AttemptFailure.ConnectionLost("connection closed")));
      return new OpenAttempt(listener);
    }
    timers.after(FIRST_EVENT, () -> begin(listener));
    return new OpenAttempt(listener);
  }

  private void begin(AttemptListener listener) {
    open.add(listener);
    listener.onHead(
        new ResponseHead(
            HttpStatus.of(200),
            MultiMap.caseInsensitiveMultiMap(),
            OptionalLong.empty(),
            Optional.of("seal")));
    listener.onData(Buffer.buffer("id: 1\ndata: a\n\n"));
  }

  private final class OpenAttempt implements Attempt {
    private final AttemptListener listener;

    private OpenAttempt(AttemptListener listener) {
      this.listener = listener;
    }

    @Override
    public void cancel() {
      open.remove(listener);
    }

    @Override
    public void setPaused(boolean isPaused) {}
  }
}
