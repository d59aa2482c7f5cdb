package org.amaranthstream.weights;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.WriteReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Newest version that any controller of a pool has ordered, stored in the key-value service.
 *
 * <p>The newest version that a new lease holder has seen may be older than what the previous holder
 * ordered, and load reports are delayed. A lease holder therefore raises this entry by
 * compare-and-swap before its first order of a version, and orders the version that the entry then
 * holds. Used on the decision thread only.
 */
final class HighestOrderedVersion {
  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(5);

  private final String key;
  private final KeyValueStore store;
  private final Duty duty;
  private final TimerService timers;
  private @Nullable FencingNumber confirmedFor;
  private @Nullable WeightVersion confirmed;
  private long raiseDeadlineNanos;
  private boolean isRaising;

  HighestOrderedVersion(String key, KeyValueStore store, Duty duty, TimerService timers) {
    this.key = key;
    this.store = store;
    this.duty = duty;
    this.timers = timers;
  }

  /**
   * Returns the version to order with token {@code fencing}, empty unless the entry is confirmed to
   * hold {@code target} or a newer version.
   */
  Optional<WeightVersion> confirmed(FencingNumber fencing, WeightVersion target) {
    boolean isConfirmed =
        fencing.equals(confirmedFor) && confirmed != null && !target.isAfter(confirmed);
    return isConfirmed ? Optional.of(confirmed) : Optional.empty();
  }

  /**
   * Raises the entry to at least {@code target}, and runs {@code onConfirmed} once the write is
   * confirmed. Does nothing while another raise is in progress.
   */
  void raise(FencingNumber fencing, WeightVersion target, Runnable onConfirmed) {
    long now = timers.nowNanos();
    if (isRaising && raiseDeadlineNanos - now > 0) {
      return;
    }
    isRaising = true;
    raiseDeadlineNanos = now + REPLY_TIMEOUT.toNanos();
    whenReplied(
        store.get(key),
        read -> {
          if (read instanceof Result.Success<Optional<KvEntry>> success) {
            write(fencing, target, success.value(), onConfirmed);
          } else {
            isRaising = false;
          }
        });
  }

  private void write(
      FencingNumber fencing, WeightVersion target, Optional<KvEntry> entry, Runnable onConfirmed) {
    WeightVersion stored = entry.map(HighestOrderedVersion::versionOf).orElse(target);
    WeightVersion raised = stored.isAfter(target) ? stored : target;
    byte[] value = raised.toString().getBytes(StandardCharsets.UTF_8);
    Revision expected = entry.map(KvEntry::revision).orElse(Revision.of(0));
    whenReplied(
        store.compareAndSwap(key, expected, value, Optional.empty()),
        reply -> {
          isRaising = false;
          if (reply instanceof WriteReply.Written) {
            confirmedFor = fencing;
            confirmed = raised;
            onConfirmed.run();
          }
        });
  }

  private <T> void whenReplied(CompletableFuture<T> reply, Consumer<T> consumer) {
    reply.thenAccept(value -> duty.offer(() -> consumer.accept(value)));
  }

  private static WeightVersion versionOf(KvEntry entry) {
    return WeightVersion.of(Long.parseLong(new String(entry.value(), StandardCharsets.UTF_8)));
  }
}
