package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.time.TimerService;

/**
 * Monitor of the services whose servers this process reaches.
 *
 * <p>Must be used on the thread of its timers.
 */
public final class ReachMonitor {
  private final ServerDirectory directory;
  private final ServerProbe probe;
  private final TimerService timers;
  private final Map<ServiceId, ServiceReach> services = new HashMap<>();
  private final List<Runnable> listeners = new ArrayList<>();

  private ReachMonitor(ServerDirectory directory, ServerProbe probe, TimerService timers) {
    this.directory = directory;
    this.probe = probe;
    this.timers = timers;
  }

  /** Returns a monitor of the servers of {@code directory}, which reports their responses to it. */
  public static ReachMonitor create(
      ServerDirectory directory, ServerProbe probe, TimerService timers) {
    ReachMonitor monitor =
        new ReachMonitor(
            checkNotNull(directory, "directory"),
            checkNotNull(probe, "probe"),
            checkNotNull(timers, "timers"));
    directory.setReachMonitor(monitor);
    return monitor;
  }

  /** Adds a listener that is called when a service is lost or reached again. */
  public void addListener(Runnable listener) {
    listeners.add(checkNotNull(listener, "listener"));
  }

  /** Returns the detector of one service. */
  public ServiceReach of(ServiceId service) {
    return services.computeIfAbsent(
        service,
        unused ->
            new ServiceReach(
                service,
                () -> directory.available(service),
                probe,
                timers,
                () -> listeners.forEach(Runnable::run)));
  }

  /** Returns true if this process reaches no server of {@code service}. */
  public boolean isLost(ServiceId service) {
    ServiceReach reach = services.get(service);
    return reach != null && reach.isLost();
  }
}
