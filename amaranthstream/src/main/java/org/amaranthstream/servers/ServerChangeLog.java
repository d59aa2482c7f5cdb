package org.amaranthstream.servers;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.logs.LogText;

/**
 * Log of the servers that register and disappear. The changes of a batch with many of them share
 * one line, so that the lines of a start don't grow with the number of servers.
 *
 * <p>Not thread safe.
 */
final class ServerChangeLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_SINGLE_LINES = 4;

  private final List<ServerRegistration> known = new ArrayList<>();
  private final List<ServerRegistration> gone = new ArrayList<>();

  void addKnown(ServerRegistration registration) {
    known.add(registration);
  }

  void addGone(ServerRegistration registration) {
    gone.add(registration);
  }

  /**
   * Logs the changes since the last call.
   *
   * @param total the number of registered servers
   * @param revision the revision of the store up to which changes were applied
   */
  void flush(int total, Revision revision) {
    boolean isSummarized = known.size() + gone.size() > MAX_SINGLE_LINES;
    if (isSummarized) {
      logger.atInfo().log(
          "event=servers_changed known=%d gone=%d total=%d", known.size(), gone.size(), total);
    }
    known.forEach(registration -> logKnown(registration, isSummarized));
    gone.forEach(registration -> logGone(registration, revision, isSummarized));
    known.clear();
    gone.clear();
  }

  private static void logKnown(ServerRegistration registration, boolean isSummarized) {
    (isSummarized ? logger.atFine() : logger.atInfo())
        .log(
            "event=server_known server=%s service=%s software=%s address=%s zone=%s slots=%d"
                + " versions=%s",
            registration.id(),
            registration.service(),
            LazyArgs.lazy(() -> LogText.of(registration.softwareVersion().value())),
            LazyArgs.lazy(() -> registration.host() + ":" + registration.port()),
            registration.zone(),
            registration.slots(),
            registration.versions());
  }

  private static void logGone(
      ServerRegistration registration, Revision revision, boolean isSummarized) {
    (isSummarized ? logger.atFine() : logger.atInfo())
        .log("event=server_gone server=%s revision=%s", registration.id(), revision);
  }
}
