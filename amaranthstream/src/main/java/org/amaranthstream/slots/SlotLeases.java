package org.amaranthstream.slots;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.servers.TrackedServer;

/**
 * Leases of slots of backend servers that this daemon requests for the items of its jobs.
 *
 * <p>Must be used on the thread of the daemon's timers, on which it calls back.
 */
public interface SlotLeases {
  /** Allows each daemon to use all slots, of which it knows only its own use. */
  SlotLeases UNSHARED =
      new SlotLeases() {
        @Override
        public boolean mayStart(TrackedServer server) {
          return true;
        }

        @Override
        public void onRejected(TrackedServer server) {}

        @Override
        public void setDemand(ImmutableList<SlotDemand> demands) {}

        @Override
        public void setListener(Runnable onChanged) {}
      };

  /** Returns true if a request to {@code server} may start now. */
  boolean mayStart(TrackedServer server);

  /**
   * Records that {@code server} rejected a request although it was leased: it loads weights, or
   * daemons without leases use it. It gets no request before the next leases arrive.
   */
  void onRejected(TrackedServer server);

  /** Sets what this daemon runs and waits for. */
  void setDemand(ImmutableList<SlotDemand> demands);

  /** Sets the listener that is called when requests may start that could not start before. */
  void setListener(Runnable onChanged);
}
