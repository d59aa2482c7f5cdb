package org.amaranthstream.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A registry of content that was in flight when backend servers crashed.
 *
 * <p>Content with one crash is suspect: a server runs at most one suspect at a time. Content with
 * crashes of two distinct incarnations is quarantined for a time, and so is content whose runs are
 * lost again and again. A crash is cleared when a request with the content completes, or when the
 * server proves not to have crashed. The registry is bounded and evicts the oldest entries first.
 * Not thread safe.
 */
public final class PoisonRegistry {
  private static final int CRASHES_TO_QUARANTINE = 2;

  /**
   * Lost runs in a row after which content is quarantined, even if their crashes were refuted. A
   * server that restarted under its id may respond before its registration is known, and so refute
   * a crash that happened.
   */
  private static final int LOST_RUNS_TO_QUARANTINE = 3;

  private static final int MAX_ENTRIES = 4096;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final long quarantineNanos;
  private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
  private final List<CrashListener> listeners = new ArrayList<>();

  private PoisonRegistry(long quarantineNanos) {
    this.quarantineNanos = quarantineNanos;
  }

  /** Returns an empty registry that quarantines content for {@code quarantine}. */
  public static PoisonRegistry create(Duration quarantine) {
    checkArgument(!quarantine.isNegative(), "quarantine is negative: %s", quarantine);
    return new PoisonRegistry(quarantine.toNanos());
  }

  /** Adds a listener that is called for each crash that is recorded. */
  public void addListener(CrashListener listener) {
    listeners.add(checkNotNull(listener, "listener"));
  }

  /** Returns true if no content was in flight at a crash. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Records that {@code fingerprint} was in flight at {@code crash}. A crash that was cleared for
   * it has no effect.
   */
  public void onCrash(Fingerprint fingerprint, Crash crash, long nowNanos) {
    Entry entry = entries.remove(fingerprint);
    if (entry == null) {
      entry = new Entry(nowNanos);
    }
    boolean isNew = !entry.isCleared(crash) && entry.crashes.add(crash);
    if (isNew) {
      entry.newestNanos = nowNanos;
    }
    entries.put(fingerprint, entry);
    trim();
    if (isNew) {
      logger.atInfo().log(
          "event=crash_recorded content=%s server=%s crashes=%d",
          fingerprint, crash.server(), entry.crashes.size());
      notifyListeners();
    }
  }

  private void notifyListeners() {
    listeners.forEach(CrashListener::onCrashesChanged);
  }

  private void trim() {
    if (entries.size() > MAX_ENTRIES) {
      entries.remove(entries.keySet().iterator().next());
    }
  }

  /**
   * Records that this process lost the connection to a server that ran {@code fingerprint}. Only
   * for callers that cannot tell a crash from a failed connection for certain.
   */
  public void onRunLost(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.computeIfAbsent(fingerprint, f -> new Entry(nowNanos));
    entry.lostRuns++;
    entry.newestNanos = nowNanos;
    trim();
  }

  /** Clears all crashes and lost runs of content whose request completed. */
  public void onCompleted(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    if (entry == null) {
      return;
    }
    entry.lostRuns = 0;
    if (!entry.crashes.isEmpty()) {
      entry.completed.addAll(entry.crashes);
      entry.crashes.clear();
      notifyListeners();
    }
  }

  /** Clears a suspected crash that did not happen, for all content. */
  public void onCrashRefuted(Crash crash) {
    int contents = 0;
    for (Entry entry : entries.values()) {
      if (entry.crashes.remove(crash)) {
        entry.refuted.add(crash);
        contents++;
      }
    }
    logger.atInfo().log("event=crash_refuted server=%s contents=%d", crash.server(), contents);
  }

  /** Returns true if {@code fingerprint} has a recent crash or lost run that was not cleared. */
  public boolean isSuspect(Fingerprint fingerprint, long nowNanos) {
    return findUnexpired(fingerprint, nowNanos) != null;
  }

  /** Returns the remaining quarantine of {@code fingerprint}, empty if it is not quarantined. */
  public Optional<Duration> remainingQuarantine(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry == null) {
      return Optional.empty();
    }
    long remainingNanos = entry.adopted ? entry.adoptedEndNanos - nowNanos : 0;
    if (entry.shouldQuarantine()) {
      remainingNanos = Math.max(remainingNanos, entry.newestNanos + quarantineNanos - nowNanos);
    }
    return remainingNanos > 0 ? Optional.of(Duration.ofNanos(remainingNanos)) : Optional.empty();
  }

  /** Quarantines {@code fingerprint} for the time that remains of another entry VM's quarantine. */
  public void adoptQuarantine(Fingerprint fingerprint, Duration remaining, long nowNanos) {
    Entry entry = entries.computeIfAbsent(fingerprint, f -> new Entry(nowNanos));
    long endNanos = nowNanos + Math.min(remaining.toNanos(), quarantineNanos);
    if (!entry.adopted || endNanos - entry.adoptedEndNanos > 0) {
      entry.adopted = true;
      entry.adoptedEndNanos = endNanos;
    }
    trim();
  }

  /** Returns the quarantined content with its remaining quarantine. */
  public ImmutableMap<Fingerprint, Duration> quarantined(long nowNanos) {
    expire(nowNanos);
    ImmutableMap.Builder<Fingerprint, Duration> quarantined = ImmutableMap.builder();
    for (Fingerprint fingerprint : entries.keySet()) {
      remainingQuarantine(fingerprint, nowNanos)
          .ifPresent(remaining -> quarantined.put(fingerprint, remaining));
    }
    return quarantined.buildOrThrow();
  }

  /** Returns the notices for other entry VMs, the most recently recorded content last. */
  public ImmutableList<PoisonNotice> export(long nowNanos) {
    expire(nowNanos);
    ImmutableList.Builder<PoisonNotice> notices = ImmutableList.builder();
    entries.forEach(
        (fingerprint, entry) -> {
          if (!entry.crashes.isEmpty() || !entry.completed.isEmpty()) {
            notices.add(entry.toNotice(fingerprint, nowNanos));
          }
        });
    return notices.build();
  }

  /**
   * Merges the crashes of another entry VM's notice, unless they have expired. Content that
   * completed at one VM is cleared of the same crashes at all of them.
   */
  public void merge(PoisonNotice notice, long nowNanos) {
    long seenNanos = nowNanos - notice.age().toNanos();
    if (nowNanos - seenNanos >= quarantineNanos) {
      return;
    }
    if (!notice.cleared().isEmpty()) {
      clear(notice.fingerprint(), notice.cleared(), seenNanos);
    }
    for (Crash crash : notice.crashes()) {
      onCrash(notice.fingerprint(), crash, seenNanos);
    }
  }

  private void clear(Fingerprint fingerprint, Set<Crash> cleared, long seenNanos) {
    Entry entry = entries.computeIfAbsent(fingerprint, f -> new Entry(seenNanos));
    if (entry.completed.addAll(cleared)) {
      entry.crashes.removeAll(cleared);
      entry.lostRuns = 0;
      notifyListeners();
    }
    trim();
  }

  private @Nullable Entry findUnexpired(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry == null || !entry.isSuspect()) {
      return null;
    }
    return isExpired(entry, nowNanos) ? null : entry;
  }

  private boolean isExpired(Entry entry, long nowNanos) {
    boolean adopted = entry.adopted && nowNanos - entry.adoptedEndNanos < 0;
    return !adopted && nowNanos - entry.newestNanos >= quarantineNanos;
  }

  private void expire(long nowNanos) {
    entries.values().removeIf(entry -> isExpired(entry, nowNanos));
  }

  private static final class Entry {
    private final Set<Crash> crashes = new HashSet<>();
    private final Set<Crash> refuted = new HashSet<>();

    /** Crashes after which a request with the content completed. */
    private final Set<Crash> completed = new HashSet<>();

    private int lostRuns;
    private long newestNanos;
    private boolean adopted;
    private long adoptedEndNanos;

    private Entry(long newestNanos) {
      this.newestNanos = newestNanos;
    }

    private boolean isCleared(Crash crash) {
      return refuted.contains(crash) || completed.contains(crash);
    }

    private PoisonNotice toNotice(Fingerprint fingerprint, long nowNanos) {
      return new PoisonNotice(
          fingerprint,
          ImmutableSet.copyOf(crashes),
          ImmutableSet.copyOf(completed),
          Duration.ofNanos(nowNanos - newestNanos));
    }

    private boolean isSuspect() {
      return !crashes.isEmpty() || lostRuns > 0;
    }

    private boolean shouldQuarantine() {
      return crashes.size() >= CRASHES_TO_QUARANTINE || lostRuns >= LOST_RUNS_TO_QUARANTINE;
    }
  }
}
