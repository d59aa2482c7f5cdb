package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.InstantSource;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;

/**
 * Manager of this daemon's copy of the operators' configuration.
 *
 * <p>Configurations come from the key-value service, from peers and from the data folder. Whatever
 * its source, a configuration is applied only if its generation is higher than the active one.
 * Changes are written by compare-and-swap on one document. The work runs on one duty; the public
 * methods are thread safe.
 *
 * <pre>{@code
 * ConfigManager manager =
 *     ConfigManager.builder(duty, timers, store, timing)
 *         .storage(FileConfigStorage.in(folder))
 *         .build();
 * manager.addListener(config -> directory.use(config));
 * manager.start();
 * }</pre>
 */
public final class ConfigManager {
  /** The key of the document in the key-value service. */
  public static final String KEY = "config";

  private final Components components;
  private final ConfigStorage storage;
  private final InstantSource clock;
  private final Supplier<String> nonces;
  private final ConfigTiming timing;

  /** The components that the manager shares with its proposals. */
  record Components(
      Duty duty,
      DutyCallbacks callbacks,
      TimerService timers,
      KeyValueStore store,
      ActiveConfigHolder activeConfig,
      ConfigWatcher watcher,
      PeerGenerationTracker peerGenerations) {}

  private ConfigManager(Builder builder) {
    this.storage = builder.storage;
    this.clock = builder.clock;
    this.nonces = builder.nonces;
    this.timing = builder.timing;
    ActiveConfigHolder activeConfig = new ActiveConfigHolder(storage);
    this.components =
        new Components(
            builder.duty,
            new DutyCallbacks(builder.duty),
            builder.timers,
            builder.store,
            activeConfig,
            new ConfigWatcher(builder.duty, builder.timers, builder.store, activeConfig, timing),
            new PeerGenerationTracker(builder.hasPeers));
  }

  /** Returns a builder of a manager that runs on {@code duty}. */
  public static Builder builder(
      Duty duty, TimerService timers, KeyValueStore store, ConfigTiming timing) {
    return new Builder(duty, timers, store, timing);
  }

  /** Adds a listener that is called with each configuration applied from now on. */
  public void addListener(ConfigListener listener) {
    components.activeConfig.addListener(listener);
  }

  /** Loads the stored configuration and starts watching the key-value service. */
  public void start() {
    components.duty.offer(this::startOnDuty);
    Runnable stopWaiting = () -> components.duty.offer(components.peerGenerations::stopWaiting);
    components.timers.after(timing.firstPeerTimeout(), stopWaiting);
  }

  private void startOnDuty() {
    Optional<byte[]> stored = storage.load();
    if (stored.isPresent()) {
      Result<ConfigDocument> decoded = ConfigDocumentCodec.decode(stored.get());
      if (decoded instanceof Result.Success<ConfigDocument> success) {
        components.activeConfig.apply(success.value(), ConfigSource.DISK);
      } else if (decoded instanceof Result.Failure<ConfigDocument> failure) {
        components.activeConfig.recordRejected(
            "unknown", ConfigSource.DISK, failure.error().message());
      }
    }
    components.watcher.start();
  }

  /** Stops watching the key-value service. */
  public void stop() {
    components.duty.offer(components.watcher::stop);
  }

  /** Returns the active configuration. */
  public OperatorConfig current() {
    return components.activeConfig.config();
  }

  /** Returns the active configuration together with its YAML, which is sent to peers. */
  public AppliedConfig applied() {
    return components.activeConfig.applied();
  }

  /** Returns the latest changes, newest first. */
  public ImmutableList<ConfigChange> history() {
    return components.activeConfig.document().history();
  }

  /** Returns a snapshot of the state for the state dump and the metrics. */
  public ConfigStatus status() {
    return new ConfigStatus(
        components.activeConfig.generation(),
        components.activeConfig.source(),
        components.peerGenerations.highest(),
        components.watcher.generation(),
        components.watcher.isReachable(),
        components.watcher.isBehind(),
        components.activeConfig.refusedDocuments(),
        components.activeConfig.clashes());
  }

  /**
   * Replaces the configuration of generation {@code expected}.
   *
   * <p>The future completes with the new generation or with {@link ResultCode#CONFIG_INVALID},
   * {@link ResultCode#CONFIG_CONFLICT}, {@link ResultCode#PLATFORM_UNAVAILABLE}, {@link
   * ResultCode#PEER_UNREACHABLE}, {@link ResultCode#NOT_RUN_QUEUE_FULL} or {@link
   * ResultCode#CONFIG_OUTCOME_UNKNOWN}. After the last one, the change may have taken effect; after
   * every other failure, it has not.
   */
  public CompletableFuture<Result<ConfigGeneration>> put(
      ConfigGeneration expected, String yaml, String operator) {
    ConfigProposal proposal =
        new ConfigProposal(components, expected, yaml, operator, clock.instant(), nonces.get());
    if (!components.duty.offer(proposal::start)) {
      proposal.fail(ResultCode.NOT_RUN_QUEUE_FULL, "the configuration queue is full");
    }
    return proposal.outcome();
  }

  /**
   * Records that a peer has {@code generation} active.
   *
   * @return true if it is higher than the active generation, so that the caller should fetch the
   *     peer's configuration
   */
  public boolean observePeerGeneration(ConfigGeneration generation) {
    components.duty.offer(() -> components.peerGenerations.observe(generation));
    return generation.isAfter(components.activeConfig.generation());
  }

  /** Applies the active configuration of a peer if its generation is higher. */
  public void applyFromPeer(ConfigGeneration generation, String yaml) {
    components.duty.offer(() -> applyFromPeerOnDuty(generation, yaml));
  }

  private void applyFromPeerOnDuty(ConfigGeneration generation, String yaml) {
    components.peerGenerations.observe(generation);
    ImmutableList<ConfigChange> history = components.activeConfig.document().history();
    components.activeConfig.apply(new ConfigDocument(generation, yaml, history), ConfigSource.PEER);
  }

  /** A builder of {@link ConfigManager}. Not thread safe. */
  public static final class Builder {
    private final Duty duty;
    private final TimerService timers;
    private final KeyValueStore store;
    private final ConfigTiming timing;
    private ConfigStorage storage = ConfigStorage.NONE;
    private InstantSource clock = InstantSource.system();
    private Supplier<String> nonces = () -> UUID.randomUUID().toString();
    private boolean hasPeers;

    private Builder(Duty duty, TimerService timers, KeyValueStore store, ConfigTiming timing) {
      this.duty = checkNotNull(duty, "duty");
      this.timers = checkNotNull(timers, "timers");
      this.store = checkNotNull(store, "store");
      this.timing = checkNotNull(timing, "timing");
    }

    /** Sets the storage that keeps the configuration across restarts. */
    @CanIgnoreReturnValue
    public Builder storage(ConfigStorage storage) {
      this.storage = storage;
      return this;
    }

    /** Sets the clock for the timestamps of changes; no decision depends on it. */
    @CanIgnoreReturnValue
    public Builder clock(InstantSource clock) {
      this.clock = clock;
      return this;
    }

    /** Sets the source of nonces, which must be unique across all daemons. */
    @CanIgnoreReturnValue
    public Builder nonces(Supplier<String> nonces) {
      this.nonces = nonces;
      return this;
    }

    /**
     * Sets whether there are peers. If so, changes are rejected after the start until a peer has
     * reported its generation or the wait for it has timed out.
     */
    @CanIgnoreReturnValue
    public Builder hasPeers(boolean hasPeers) {
      this.hasPeers = hasPeers;
      return this;
    }

    /** Returns the manager, not started. */
    public ConfigManager build() {
      return new ConfigManager(this);
    }
  }
}
