package org.amaranthstream.calls;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Selection of the servers that can continue a stream that a caller has received in part.
 *
 * <p>What servers with different software generate does not fit together, and servers do not check
 * it. A stream whose origin is unknown is continued only if all servers that can have begun it are
 * alike; otherwise it is rejected, since a guess could mix two versions. Must be used on one
 * thread.
 */
final class StreamResumptions {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Short against the gap after which callers give up a stream. */
  private static final Duration MAX_LOOKUP_TIME = Duration.ofMillis(600);

  /** A caller resumes its stream within the timeout of its route, which it may use up once more. */
  private static final int STREAM_LIFETIME_TIMEOUTS = 2;

  /** Ends the name of a workspace; no id of a caller's request contains it. */
  private static final char WORKSPACE_END = '\n';

  private final StreamOrigins origins;
  private final ServerDirectory directory;
  private final TimerService timers;

  StreamResumptions(StreamOrigins origins, ServerDirectory directory, TimerService timers) {
    this.origins = origins;
    this.directory = directory;
    this.timers = timers;
  }

  /** Records that {@code server} begins or continues the stream of a call. */
  void record(OutboundCall call, TrackedServer server) {
    origins.record(firstRequest(call), StreamOrigin.of(server.registration()));
  }

  /** Returns the name of the first request within its workspace. */
  private static String firstRequest(OutboundCall call) {
    String request = call.resumption().flatMap(StreamResumption::firstRequest).orElse(call.id());
    return call.workspace().map(id -> id.value() + WORKSPACE_END + request).orElse(request);
  }

  /**
   * Finds the servers that can continue the stream that {@code call} resumes.
   *
   * @param listener called once, with the servers, or with a failure if there are none
   */
  void find(
      Route route,
      OutboundCall call,
      Duration timeLeft,
      Consumer<Result<List<TrackedServer>>> listener) {
    Duration timeout = timeLeft.compareTo(MAX_LOOKUP_TIME) < 0 ? timeLeft : MAX_LOOKUP_TIME;
    origins
        .find(firstRequest(call), timeout)
        .thenAccept(
            found -> {
              Optional<StreamOrigin> origin = found.or(() -> onlyPossibleOrigin(route));
              logger.atInfo().log(
                  "event=stream_resumed request=%s first=%s recorded=%s origin=%s",
                  call.id(), firstRequest(call), found.isPresent(), origin.orElse(null));
              listener.accept(servers(route, origin));
            });
  }

  private Optional<StreamOrigin> onlyPossibleOrigin(Route route) {
    List<WeightedService> services =
        route.services().stream().filter(service -> service.weight() > 0).toList();
    Duration lifetime = route.timeout().multipliedBy(STREAM_LIFETIME_TIMEOUTS);
    return services.size() == 1
        ? directory
            .onlySoftware(services.get(0).service(), lifetime)
            .map(software -> new StreamOrigin(services.get(0).service(), software))
        : Optional.empty();
  }

  private Result<List<TrackedServer>> servers(Route route, Optional<StreamOrigin> origin) {
    if (origin.isEmpty()) {
      return Result.failure(
          ResultCode.NOT_RUN_NO_BACKEND, "it is not known which software began the stream");
    }
    long now = timers.nowNanos();
    List<TrackedServer> compatible =
        route.allows(origin.get().service())
            ? directory.available(origin.get().service()).stream()
                .filter(server -> StreamOrigin.of(server.registration()).equals(origin.get()))
                .filter(server -> !server.mayHaveRestarted(now) || isAlike(origin.get()))
                .toList()
            : List.of();
    return compatible.isEmpty()
        ? Result.failure(
            ResultCode.NOT_RUN_NO_BACKEND,
            "no server of service "
                + origin.get().service()
                + " with software "
                + origin.get().software()
                + " can continue the stream")
        : Result.success(compatible);
  }

  /** Returns true if all servers of the origin's service have its software. */
  private boolean isAlike(StreamOrigin origin) {
    return directory.available(origin.service()).stream()
        .allMatch(server -> StreamOrigin.of(server.registration()).equals(origin));
  }
}
