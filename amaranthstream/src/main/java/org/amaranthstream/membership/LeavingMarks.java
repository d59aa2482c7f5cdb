package org.amaranthstream.membership;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.amaranthstream.ids.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * What makes one backend server leaving: incarnations that leave, which stay so for good, and the
 * platform's list, which is believed at once when it announces a leaving and only after a time when
 * it denies it.
 *
 * <p>Not thread safe.
 */
final class LeavingMarks {
  private static final int MAX_INCARNATIONS = 8;

  private final Set<Incarnation> leaving = new LinkedHashSet<>();
  private boolean listed;
  private boolean announced;
  private boolean announcedBeforeAnyReport;
  private boolean everAnnounced;
  private long lastAnnouncedNanos;
  private long lastListedNanos;

  LeavingMarks(long nowNanos) {
    this.lastListedNanos = nowNanos;
  }

  /** Marks {@code incarnation} as leaving for good. */
  void add(Incarnation incarnation) {
    leaving.add(incarnation);
    if (leaving.size() > MAX_INCARNATIONS) {
      Iterator<Incarnation> oldest = leaving.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Takes what one read of the platform's list says; {@code current} is the newest incarnation. */
  void onListed(boolean leavingInList, @Nullable Incarnation current, long nowNanos) {
    if (leavingInList && !announced) {
      bindAnnouncement(current);
    }
    listed = true;
    announced = leavingInList;
    lastListedNanos = nowNanos;
    if (leavingInList) {
      everAnnounced = true;
      lastAnnouncedNanos = nowNanos;
    }
  }

  private void bindAnnouncement(@Nullable Incarnation current) {
    if (current == null) {
      announcedBeforeAnyReport = true;
    } else {
      add(current);
    }
  }

  /** The server is not in the platform's list any more. */
  void onUnlisted() {
    listed = false;
    announced = false;
    announcedBeforeAnyReport = false;
  }

  /** The first incarnation of the server was seen; an earlier announcement is about it. */
  void onFirstIncarnation(Incarnation incarnation) {
    if (announcedBeforeAnyReport) {
      announcedBeforeAnyReport = false;
      add(incarnation);
    }
  }

  boolean isLeaving(@Nullable Incarnation current, long nowNanos, long listClearNanos) {
    if (announced || announcedBeforeAnyReport) {
      return true;
    }
    if (everAnnounced && nowNanos - lastAnnouncedNanos < listClearNanos) {
      return true;
    }
    return current != null && leaving.contains(current);
  }

  boolean isExpired(long nowNanos, long retentionNanos) {
    return !listed && nowNanos - lastListedNanos >= retentionNanos;
  }

  Set<Incarnation> incarnations() {
    return leaving;
  }
}
