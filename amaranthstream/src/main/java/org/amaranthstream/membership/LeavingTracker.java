package org.amaranthstream.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthstream.ids.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * Tracker of whether one backend server is leaving. It combines the incarnations that the server or
 * a peer reported as leaving with the platform's VM list. The list marks the server as leaving at
 * once, but clears it only {@link MembershipSettings#leavingClearAfter} after the last read that
 * marked it, because the list may lag or contradict itself.
 *
 * <p>A leaving incarnation is disregarded only when another one has reported so much later that the
 * delay of relayed reports cannot explain the difference.
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

  /** Marks {@code incarnation} as leaving; it was still running at {@code atNanos}. */
  void add(Incarnation incarnation, long atNanos) {
    leavingAtNanos.merge(incarnation, atNanos, Math::max);
    if (leavingAtNanos.size() > MAX_INCARNATIONS) {
      Iterator<Incarnation> oldest = leavingAtNanos.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Applies one read of the VM list; {@code current} is the latest reported incarnation. */
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

  /** Records that the VM list no longer contains the server. */
  void onUnlisted() {
    listed = false;
    announced = false;
  }

  /** Returns true if the server is leaving; {@code current} is its latest load report. */
  boolean isLeaving(@Nullable LoadReport current, long nowNanos) {
    boolean recentlyAnnounced = everAnnounced && nowNanos - lastAnnouncedNanos < leavingClearNanos;
    if (announced || recentlyAnnounced) {
      return true;
    }
    return leavingAtNanos.entrySet().stream()
        .anyMatch(entry -> stillApplies(entry.getKey(), entry.getValue(), current));
  }

  /** Returns false if another incarnation has reported later by more than the relay skew. */
  private boolean stillApplies(Incarnation leaving, long atNanos, @Nullable LoadReport current) {
    return current == null
        || current.incarnation().equals(leaving)
        || current.takenNanos() - atNanos <= skewNanos;
  }

  /** Returns true if {@code incarnation} is marked as leaving. */
  boolean contains(Incarnation incarnation) {
    return leavingAtNanos.containsKey(incarnation);
  }

  /** Returns true if the server has been missing from the VM list for the retention time. */
  boolean isExpired(long nowNanos, long retentionNanos) {
    return !listed && nowNanos - lastListedNanos >= retentionNanos;
  }
}
