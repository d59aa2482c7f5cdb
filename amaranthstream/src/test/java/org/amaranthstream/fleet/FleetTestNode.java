package org.amaranthstream.fleet;

import java.time.Duration;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient;
import org.amaranthstream.time.TimerService;
import org.amaranthstream.time.VirtualTimerService;

/** A daemon's registration and one leader lease, on a simulated store. */
public final class FleetTestNode {
  private static final String HOST = "10.0.0.1";
  private static final int PORT = 7000;
  private static final Duration ORDER_TURN = Duration.ofSeconds(3);

  private final SimulatedStoreClient store;
  private final FleetNode self;
  private final Fleet fleet;
  private final FleetSession session;
  private final LeaderLease leaderLease;

  /** Creates a daemon that is not registered yet. */
  public FleetTestNode(
      String vm, String incarnation, SimulatedStore store, VirtualTimerService timers) {
    this(vm, HOST, incarnation, store, timers, timers);
  }

  /** Creates a daemon whose timers may be paused while {@code clock} advances. */
  public FleetTestNode(
      String vm,
      String incarnation,
      SimulatedStore store,
      TimerService timers,
      VirtualTimerService clock) {
    this(vm, HOST, incarnation, store, timers, clock);
  }

  /** Creates a daemon on a VM with a given IP address. */
  FleetTestNode(
      String vm,
      String host,
      String incarnation,
      SimulatedStore store,
      TimerService timers,
      VirtualTimerService clock) {
    this.store = store.client();
    this.self =
        new FleetNode(
            EntryVmId.of(vm),
            Incarnation.of(incarnation),
            host,
            PORT,
            AvailabilityZoneId.of("a"),
            RegionId.of("r"));
    this.fleet = Fleet.create(this.store, timers);
    this.session =
        FleetSession.create(
            this.store,
            timers,
            () -> java.time.Instant.ofEpochMilli(clock.nowNanos() / 1_000_000),
            self);
    this.leaderLease =
        LeaderLease.create(
            "weights", this.store, timers, fleet, session, LeaderLeaseTiming.of(ORDER_TURN));
  }

  /** Registers and starts to acquire the leader lease. */
  public void start() {
    fleet.addListener(session);
    fleet.start();
    session.start(() -> {});
    leaderLease.start();
  }

  /** Returns the store client, on which faults can be injected. */
  public SimulatedStoreClient store() {
    return store;
  }

  /** Returns the registration data of this daemon. */
  public FleetNode self() {
    return self;
  }

  /** Returns this daemon's view of the fleet. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns the session, which holds the registration. */
  public FleetSession session() {
    return session;
  }

  /** Returns the leader lease. */
  public LeaderLease leaderLease() {
    return leaderLease;
  }
}
