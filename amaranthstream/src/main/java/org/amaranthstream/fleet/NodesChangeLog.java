package org.amaranthstream.fleet;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import org.amaranthstream.time.TimerService;

/**
 * Log of the daemons that join and leave: one line for all changes of a second, so that the lines
 * of a daemon don't grow with the fleet.
 *
 * <p>The line names the daemons if they are few. Not thread safe: used on the thread of its timers.
 */
final class NodesChangeLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);
  private static final int MAX_NAMES = 4;

  private final TimerService timers;
  private final IntSupplier total;
  private final List<String> names = new ArrayList<>();
  private int joined;
  private int lost;
  private boolean isPaused;

  NodesChangeLog(TimerService timers, IntSupplier total) {
    this.timers = timers;
    this.total = total;
  }

  /** Logs a change now, or together with the others of the current second. */
  void add(NodesChange change) {
    joined += change.joined().size();
    lost += change.lost().size();
    change.joined().forEach(node -> addName("+", node));
    change.lost().forEach(node -> addName("-", node));
    if (!isPaused) {
      log();
    }
  }

  private void addName(String sign, FleetNode node) {
    logger.atFine().log(
        "event=node_changed change=%s vm=%s incarnation=%s address=%s:%d",
        sign, node.vm(), node.incarnation(), node.host(), node.port());
    if (names.size() <= MAX_NAMES) {
      names.add(sign + node.vm() + "/" + node.incarnation());
    }
  }

  private void log() {
    String listed = names.size() <= MAX_NAMES ? " vms=" + String.join(",", names) : "";
    logger.atInfo().log(
        "event=nodes_changed joined=%d lost=%d total=%d%s", joined, lost, total.getAsInt(), listed);
    joined = 0;
    lost = 0;
    names.clear();
    isPaused = true;
    timers.after(MIN_INTERVAL, this::resume);
  }

  private void resume() {
    isPaused = false;
    if (joined + lost > 0) {
      log();
    }
  }
}
