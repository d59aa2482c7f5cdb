package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/** Simulated engines in virtual time, which generate a known text for each item. */
final class SimulatedServers implements ItemTransport {
  static final ServiceId SERVICE = ServiceId.of("engine");
  static final ModelId MODEL = ModelId.of("model");
  private static final Duration RESPONSE_DELAY = Duration.ofMillis(10);

  private final TimerService timers;
  private final Map<BackendServerId, Long> versions = new HashMap<>();
  private final Map<BackendServerId, Duration> eventIntervals = new HashMap<>();
  private final Map<BackendServerId, byte[]> endlessEvents = new HashMap<>();
  private final Set<BackendServerId> silent = new LinkedHashSet<>();
  private final Map<ItemId, ItemRunOutcome> outcomes = new HashMap<>();
  private final Map<ItemId, Integer> starts = new HashMap<>();
  private final List<ItemId> order = new ArrayList<>();
  private final Set<ItemId> completed = new HashSet<>();
  private final Map<ItemId, SoftwareVersion> software = new HashMap<>();
  private final List<ItemRequest> continuedAtOtherSoftware = new ArrayList<>();
  private final List<ItemRequest> requests = new ArrayList<>();
  private final List<ItemRequest> continued = new ArrayList<>();
  private final List<Stream> streams = new ArrayList<>();

  SimulatedServers(TimerService timers) {
    this.timers = timers;
  }

  static ServerRegistration registration(String id, int slots, long version) {
    return registration(id, slots, version, "v1");
  }

  static ServerRegistration registration(String id, int slots, long version, String software) {
    return new ServerRegistration(
        BackendServerId.of(id),
        1,
        SERVICE,
        SoftwareVersion.of(software),
        "10.0.0.9",
        8080,
        AvailabilityZoneId.of("a"),
        slots,
        false,
        ImmutableMap.of(MODEL, WeightVersion.of(version)));
  }

  /** Returns the number of events of an item. */
  static int events(ItemSpec item) {
    return (int) item.expectedTokens().orElse(1);
  }

  /** Returns the complete text of an item. */
  static String text(ItemSpec item) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= events(item); i++) {
      text.append(i == 1 ? "" : "\n").append(item.id()).append('.').append(i);
    }
    return text.toString();
  }

  void setVersion(String server, long version) {
    versions.put(BackendServerId.of(server), version);
  }

  void setEventInterval(String server, Duration perEvent) {
    eventIntervals.put(BackendServerId.of(server), perEvent);
  }

  /** Makes the server send events of {@code bytes} each without end. */
  void makeEndless(String server, int bytes) {
    endlessEvents.put(BackendServerId.of(server), new byte[bytes]);
  }

  /** Returns true if the server responds to a probe. */
  boolean responds(TrackedServer server) {
    return !silent.contains(server.id());
  }

  /** Makes the server stop sending. */
  void silence(String server) {
    silent.add(BackendServerId.of(server));
  }

  /** Ends all runs at the server as a crash does. */
  void crash(String server) {
    BackendServerId id = BackendServerId.of(server);
    List.copyOf(streams).stream()
        .filter(stream -> stream.server.id().equals(id))
        .forEach(Stream::crash);
  }

  /** Returns the runs that continued the text of a server with other software. */
  List<ItemRequest> continuedAtOtherSoftware() {
    return continuedAtOtherSoftware;
  }

  /** Returns the requests of all started runs. */
  List<ItemRequest> requests() {
    return requests;
  }

  /** Returns the runs that continued a text. */
  List<ItemRequest> continued() {
    return continued;
  }

  /** Makes every run of the item end with {@code outcome} and without an event. */
  void setOutcome(ItemId item, ItemRunOutcome outcome) {
    outcomes.put(item, outcome);
  }

  /** Returns the number of started runs of an item. */
  int starts(ItemId item) {
    return starts.getOrDefault(item, 0);
  }

  /** Returns true if an engine has made the last event of the item. */
  boolean isTextComplete(ItemId item) {
    return completed.contains(item);
  }

  /** Returns the items in the order in which their runs started. */
  List<ItemId> order() {
    return order;
  }

  @Override
  public Run start(TrackedServer server, ItemRequest request, ItemListener listener) {
    starts.merge(request.item().id(), 1, Integer::sum);
    order.add(request.item().id());
    requests.add(request);
    if (request.lastEvent() > 0) {
      continued.add(request);
      if (!server.registration().softwareVersion().equals(software.get(request.item().id()))) {
        continuedAtOtherSoftware.add(request);
      }
    }
    Stream stream = new Stream(server, request, listener);
    streams.add(stream);
    timers.after(RESPONSE_DELAY, stream::begin);
    return stream;
  }

  private final class Stream implements Run {
    private final TrackedServer server;
    private final ItemRequest request;
    private final ItemListener listener;
    private long next;
    private boolean isOver;

    private Stream(TrackedServer server, ItemRequest request, ItemListener listener) {
      this.server = server;
      this.request = request;
      this.listener = listener;
      this.next = request.lastEvent() + 1;
    }

    private void begin() {
      if (isOver || silent.contains(server.id())) {
        return;
      }
      ItemRunOutcome outcome = outcomes.get(request.item().id());
      if (outcome != null) {
        isOver = true;
        listener.onEnded(outcome);
        return;
      }
      listener.onStarted(Optional.of(version()));
      step();
    }

    private WeightVersion version() {
      long reported = server.version(MODEL).map(WeightVersion::value).orElse(1L);
      return WeightVersion.of(versions.getOrDefault(server.id(), reported));
    }

    private void step() {
      if (isOver || silent.contains(server.id())) {
        return;
      }
      byte[] endless = endlessEvents.get(server.id());
      if (endless == null && next > events(request.item())) {
        isOver = true;
        completed.add(request.item().id());
        listener.onEnded(new ItemRunOutcome.Complete());
        return;
      }
      software.put(request.item().id(), server.registration().softwareVersion());
      byte[] data =
          endless == null
              ? (request.item().id() + "." + next).getBytes(StandardCharsets.UTF_8)
              : endless;
      listener.onEvent(new ItemEvent(next, data, Optional.of(version())));
      next++;
      timers.after(eventIntervals.getOrDefault(server.id(), Duration.ofMillis(20)), this::step);
    }

    private void crash() {
      if (!isOver) {
        isOver = true;
        listener.onEnded(new ItemRunOutcome.Broken("the server crashed"));
      }
    }

    @Override
    public void cancel() {
      isOver = true;
    }
  }
}
