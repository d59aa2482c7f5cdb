package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * The backend servers that are registered.
 *
 * <p>A server whose entry vanishes is gone at once, unless the store was away just before: then its
 * registration may have lapsed though it lives, and it stays in use until it had time to register
 * again. Used on the thread of its timers.
 */
public final class ServerDirectory {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration REGISTRATION_GRACE = Duration.ofMillis(2_200);

  private final TimerService timers;
  private final BooleanSupplier wasStoreAway;
  private final Map<BackendServerId, TrackedServer> servers = new LinkedHashMap<>();
  private final Map<BackendServerId, Subscription> lapses = new LinkedHashMap<>();
  private final List<ServerListener> listeners = new ArrayList<>();

  private ServerDirectory(TimerService timers, BooleanSupplier wasStoreAway) {
    this.timers = timers;
    this.wasStoreAway = wasStoreAway;
  }

  /**
   * Returns an empty directory.
   *
   * @param wasStoreAway tells whether the store was away so recently that registrations lapsed
   */
  public static ServerDirectory create(TimerService timers, BooleanSupplier wasStoreAway) {
    return new ServerDirectory(
        checkNotNull(timers, "timers"), checkNotNull(wasStoreAway, "wasStoreAway"));
  }

  /** Adds a listener. */
  public void listen(ServerListener listener) {
    listeners.add(checkNotNull(listener, "listener"));
  }

  /** Takes an entry of the store. */
  public void onEntry(ServerEntry entry) {
    Subscription lapse = lapses.remove(entry.id());
    if (lapse != null) {
      lapse.cancel();
    }
    TrackedServer known = servers.get(entry.id());
    if (known != null && known.entry().isSameIncarnation(entry)) {
      boolean wasOpen = known.isOpen();
      known.update(entry);
      if (wasOpen && !known.isOpen()) {
        logger.atInfo().log("event=server_draining server=%s", entry.id());
      }
    } else {
      if (known != null) {
        known.markGone();
      }
      servers.put(entry.id(), new TrackedServer(entry));
      logger.atInfo().log(
          "event=server_known server=%s service=%s address=%s:%d zone=%s slots=%d versions=%s",
          entry.id(),
          entry.service(),
          entry.host(),
          entry.port(),
          entry.zone(),
          entry.slots(),
          entry.versions());
    }
    changed();
  }

  /** The entry of a server has vanished, or cannot be read. */
  public void onEntryRemoved(BackendServerId id) {
    if (!servers.containsKey(id) || lapses.containsKey(id)) {
      return;
    }
    if (wasStoreAway.getAsBoolean()) {
      logger.atInfo().log("event=server_lapsed server=%s", id);
      lapses.put(id, timers.after(REGISTRATION_GRACE, () -> drop(id)));
    } else {
      drop(id);
    }
  }

  private void drop(BackendServerId id) {
    lapses.remove(id);
    TrackedServer gone = servers.remove(id);
    if (gone != null) {
      gone.markGone();
      logger.atInfo().log("event=server_gone server=%s", id);
      changed();
    }
  }

  /** Another incarnation answered at the server's address: this one has ended. */
  public void onReplaced(TrackedServer server) {
    if (servers.get(server.id()) == server) {
      drop(server.id());
    }
    server.markGone();
  }

  /** Returns the servers of a service to which new requests may be sent. */
  public ImmutableList<TrackedServer> open(ServiceId service) {
    ImmutableList.Builder<TrackedServer> open = ImmutableList.builder();
    for (TrackedServer server : servers.values()) {
      if (server.isOpen() && server.entry().service().equals(service)) {
        open.add(server);
      }
    }
    return open.build();
  }

  /** Returns all servers. */
  public ImmutableList<TrackedServer> all() {
    return ImmutableList.copyOf(servers.values());
  }

  /** Tells listeners that what is known of a server has changed. */
  public void changed() {
    listeners.forEach(ServerListener::onServersChanged);
  }
}
