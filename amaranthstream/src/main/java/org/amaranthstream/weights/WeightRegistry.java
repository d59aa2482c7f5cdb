package org.amaranthstream.weights;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.WriteReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Registry of the newest announced weight version of each model. A version never decreases,
 * whatever its source: a trainer, a peer's heartbeat, the key-value service or the weight store.
 *
 * <p>An announced version is also written to the key-value service, so that it survives a restart
 * of all entry VMs. A failed write is retried with the next poll. Thread safe.
 */
public final class WeightRegistry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String KEY_PREFIX = "weights/";
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(5);

  private final KeyValueStore store;
  private final WeightStore weightStore;
  private final Supplier<Set<ModelId>> models;
  private final Map<ModelId, WeightVersion> versions = new ConcurrentHashMap<>();
  private final Map<ModelId, WeightVersion> unwritten = new ConcurrentHashMap<>();
  private final List<BiConsumer<ModelId, WeightVersion>> listeners = new CopyOnWriteArrayList<>();

  private WeightRegistry(
      KeyValueStore store, WeightStore weightStore, Supplier<Set<ModelId>> models) {
    this.store = store;
    this.weightStore = weightStore;
    this.models = models;
  }

  /** Returns an empty registry that polls for the {@code models} of the current configuration. */
  public static WeightRegistry create(
      KeyValueStore store, WeightStore weightStore, Supplier<Set<ModelId>> models) {
    return new WeightRegistry(store, weightStore, models);
  }

  /** Polls the key-value service and the weight store until the subscription is cancelled. */
  public Subscription start(TimerService timers) {
    poll();
    return timers.every(POLL_INTERVAL, this::poll);
  }

  /** Adds a listener for newer versions. It is called on the thread that merges the version. */
  public void addListener(BiConsumer<ModelId, WeightVersion> listener) {
    listeners.add(listener);
  }

  /** Returns the newest known version of {@code model}. */
  public Optional<WeightVersion> newest(ModelId model) {
    return Optional.ofNullable(versions.get(model));
  }

  /** Returns the newest known version of each model. */
  public ImmutableMap<ModelId, WeightVersion> all() {
    return ImmutableMap.copyOf(versions);
  }

  /**
   * Merges a version that a trainer announced and writes it to the key-value service; returns the
   * newest known version.
   */
  public WeightVersion announce(ModelId model, WeightVersion version) {
    WeightVersion newest = merge(model, version);
    unwritten.merge(model, newest, WeightRegistry::newer);
    readAndRaise(model);
    return newest;
  }

  /** Merges a version from another source; returns the newest known version. */
  public WeightVersion merge(ModelId model, WeightVersion version) {
    WeightVersion before = versions.get(model);
    WeightVersion after = versions.merge(model, version, WeightRegistry::newer);
    if (before == null || after.isAfter(before)) {
      logger.atInfo().log("event=weight_version model=%s version=%s", model, after);
      listeners.forEach(listener -> listener.accept(model, after));
    }
    return after;
  }

  private void poll() {
    for (ModelId model : models.get()) {
      weightStore.latest(model).thenAccept(result -> onLatest(model, result));
      readAndRaise(model);
    }
  }

  private void onLatest(ModelId model, Result<Optional<WeightVersion>> result) {
    if (result instanceof Result.Success<Optional<WeightVersion>> success) {
      success.value().ifPresent(version -> merge(model, version));
    }
  }

  /** Reads the stored entry of a model, and raises it if an announced version is newer. */
  private void readAndRaise(ModelId model) {
    store.get(KEY_PREFIX + model).thenAccept(result -> raise(model, result));
  }

  private void raise(ModelId model, Result<Optional<KvEntry>> result) {
    if (!(result instanceof Result.Success<Optional<KvEntry>> success)) {
      return;
    }
    Optional<WeightVersion> written = success.value().flatMap(WeightRegistry::versionOf);
    written.ifPresent(version -> merge(model, version));
    WeightVersion wanted = unwritten.get(model);
    if (wanted == null) {
      return;
    }
    if (written.isPresent() && !wanted.isAfter(written.get())) {
      unwritten.remove(model, wanted);
      return;
    }
    Revision expected = success.value().map(KvEntry::revision).orElse(Revision.of(0));
    byte[] value = wanted.toString().getBytes(StandardCharsets.UTF_8);
    store
        .compareAndSwap(KEY_PREFIX + model, expected, value, Optional.empty())
        .thenAccept(reply -> onWritten(model, wanted, reply));
  }

  private void onWritten(ModelId model, WeightVersion version, WriteReply reply) {
    if (reply instanceof WriteReply.Written) {
      unwritten.remove(model, version);
    }
  }

  private static Optional<WeightVersion> versionOf(KvEntry entry) {
    try {
      String text = new String(entry.value(), StandardCharsets.UTF_8);
      return Optional.of(WeightVersion.of(Long.parseLong(text)));
    } catch (IllegalArgumentException e) {
      logger.atSevere().withCause(e).log("event=weight_entry_unreadable key=%s", entry.key());
      return Optional.empty();
    }
  }

  private static WeightVersion newer(WeightVersion a, WeightVersion b) {
    return a.isAfter(b) ? a : b;
  }
}
