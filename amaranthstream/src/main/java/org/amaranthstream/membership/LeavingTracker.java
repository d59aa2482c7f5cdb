package org.amaranthstream.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthstream.ids.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * What makes one backend server leaving: incarnations that were said to leave, and the platform's
 * list, which is believed at once when it announces a leaving and only after a time when it denies
 * it.
 *
 * <p>An incarnation that leaves stops counting only when another one has reported so much later
 * that the delay of passed-on reports cannot explain it.
 *
 * <p>Not thread safe.
 */
final class LeavingTracker {
  private static final int MAX_INCARNATIONS = 8;

  private final long leavingClearNanos;
  private final long skewNanos;
  private final Map<Incarnation, Long> leavingAtNanos = new LinkedHashMap<>();
  private boolean listed;
  private boolean announced;
  private boolean everAnnounced;
  private long lastAnnouncedNanos;
  private long lastListedNanos;

  LeavingTracker(MembershipSettings settings, long nowNanos) {
    this.leavingClearNanos = settings.leavingClearAfter().toNanos();
    this.skewNanos = settings.relaySkew().toNanos();
    this.lastListedNanos = nowNanos;
  }

  /** Marks {@code incarnation} as leaving; it was alive at {@code atNanos}. */
  void add(Incarnation incarnation, long atNanos) {
    leavingAtNanos.merge(incarnation, atNanos, Math::max);
    if (leavingAtNanos.size() > MAX_INCARNATIONS) {
      Iterator<Incarnation> oldest = leavingAtNanos.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Takes what one read of the platform's list says; {@code current} is the newest incarnation. */
  void onListed(boolean leavingInList, @Nullable Incarnation current, long nowNanos) {
    if (leavingInList && !announced && current != null) {
      add(current, nowNanos);
    }
    listed = true;
    announced = leavingInList;
    lastListedNanos = nowNanos;
    if (leavingInList) {
      everAnnounced = true;
      lastAnnouncedNanos = nowNanos;
    }
  }

  /** The server is not in the platform's list any more. */
  void onUnlisted() {
    listed = false;
    announced = false;
  }

  boolean isLeaving(@Nullable LoadReport current, long nowNanos) {
    boolean recentlyAnnounced = everAnnounced && nowNanos - lastAnnouncedNanos < leavingClearNanos;
    if (announced || recentlyAnnounced) {
      return true;
    }
    return leavingAtNanos.entrySet().stream()
        .anyMatch(mark -> stillApplies(mark.getKey(), mark.getValue(), current));
  }

  private boolean stillApplies(Incarnation leaving, long atNanos, @Nullable LoadReport current) {
    return current == null
        || current.incarnation().equals(leaving)
        || current.takenNanos() - atNanos <= skewNanos;
  }

  /** Returns true if {@code incarnation} was said to leave. */
  boolean contains(Incarnation incarnation) {
    return leavingAtNanos.containsKey(incarnation);
  }

  boolean isExpired(long nowNanos, long retentionNanos) {
    return !listed && nowNanos - lastListedNanos >= retentionNanos;
  }
}
