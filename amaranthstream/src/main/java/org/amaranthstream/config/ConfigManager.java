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
 * Keeps the operators' configuration of this daemon: only ever a newer one comes into force.
 *
 * <p>Generations come from the key-value service, from peers and from the data folder; all pass the
 * same check. Changes are made by compare-and-swap on one document. The work runs on one duty; the
 * public methods are thread safe.
 *
 * <pre>{@code
 * ConfigManager manager =
 *     ConfigManager.builder(duty, timers, store, timing)
 *         .disk(FileConfigStorage.in(folder))
 *         .build();
 * manager.addListener(config -> directory.use(config));
 * manager.start();
 * }</pre>
 */
public final class ConfigManager {
  /** The key of the document in the key-value service. */
  public static final String KEY = "config";

  private final Parts parts;
  private final ConfigStorage disk;
  private final InstantSource clock;
  private final Supplier<String> nonces;
  private final ConfigTiming timing;

  /** What the keeper and its proposals share. */
  record Parts(
      Duty duty,
      DutyCallbacks replies,
      TimerService timers,
      KeyValueStore store,
      ActiveConfigHolder ledger,
      ConfigWatcher watcher,
      PeerGenerationTracker fleet) {}

  private ConfigManager(Builder builder) {
    this.disk = builder.disk;
    this.clock = builder.clock;
    this.nonces = builder.nonces;
    this.timing = builder.timing;
    ActiveConfigHolder ledger = new ActiveConfigHolder(disk);
    this.parts =
        new Parts(
            builder.duty,
            new DutyCallbacks(builder.duty),
            builder.timers,
            builder.store,
            ledger,
            new ConfigWatcher(builder.duty, builder.timers, builder.store, ledger, timing),
            new PeerGenerationTracker(builder.hasPeers));
  }

  /** Returns a builder of a keeper that runs on {@code duty}. */
  public static Builder builder(
      Duty duty, TimerService timers, KeyValueStore store, ConfigTiming timing) {
    return new Builder(duty, timers, store, timing);
  }

  /** Adds a listener; it is told of what comes into force from now on. */
  public void addListener(ConfigListener listener) {
    parts.ledger.addListener(listener);
  }

  /** Loads what the disk holds and begins to follow the key-value service. */
  public void start() {
    parts.duty.offer(this::startOnDuty);
    Runnable stopWaiting = () -> parts.duty.offer(parts.fleet::stopWaiting);
    parts.timers.after(timing.peerGrace(), stopWaiting);
  }

  private void startOnDuty() {
    Optional<byte[]> kept = disk.load();
    if (kept.isPresent()) {
      Result<ConfigDocument> decoded = ConfigDocumentCodec.decode(kept.get());
      if (decoded instanceof Result.Success<ConfigDocument> success) {
        parts.ledger.apply(success.value(), ConfigSource.DISK);
      } else if (decoded instanceof Result.Failure<ConfigDocument> failure) {
        parts.ledger.noteRefused("unknown", ConfigSource.DISK, failure.error().message());
      }
    }
    parts.watcher.start();
  }

  /** Stops following the key-value service. */
  public void stop() {
    parts.duty.offer(parts.watcher::stop);
  }

  /** Returns the configuration in force. */
  public OperatorConfig current() {
    return parts.ledger.config();
  }

  /** Returns the configuration in force with the YAML that peers are told. */
  public AppliedConfig applied() {
    return parts.ledger.applied();
  }

  /** Returns the latest changes, the newest first. */
  public ImmutableList<ConfigChange> history() {
    return parts.ledger.document().history();
  }

  /** Returns what the keeper knows, for the state dump and the metrics. */
  public ConfigStatus status() {
    return new ConfigStatus(
        parts.ledger.generation(),
        parts.ledger.source(),
        parts.fleet.highest(),
        parts.watcher.generation(),
        parts.watcher.isReachable(),
        parts.watcher.isBehind(),
        parts.ledger.refusedDocuments(),
        parts.ledger.clashes());
  }

  /**
   * Replaces the configuration of generation {@code expected}.
   *
   * <p>The future completes with the new generation or with {@link ResultCode#CONFIG_INVALID},
   * {@link ResultCode#CONFIG_CONFLICT}, {@link ResultCode#PLATFORM_UNAVAILABLE}, {@link
   * ResultCode#PEER_UNREACHABLE}, {@link ResultCode#NOT_RUN_QUEUE_FULL} or {@link
   * ResultCode#CONFIG_OUTCOME_UNKNOWN}; only the last leaves open whether the change took effect.
   */
  public CompletableFuture<Result<ConfigGeneration>> put(
      ConfigGeneration expected, String yaml, String operator) {
    ConfigProposal proposal =
        new ConfigProposal(parts, expected, yaml, operator, clock.instant(), nonces.get());
    if (!parts.duty.offer(proposal::start)) {
      proposal.refuse(ResultCode.NOT_RUN_QUEUE_FULL, "the configuration's queue is full");
    }
    return proposal.outcome();
  }

  /**
   * Takes word of a peer that holds {@code generation}.
   *
   * @return true if it is higher than what is in force here, so its YAML is worth asking for
   */
  public boolean observePeerGeneration(ConfigGeneration generation) {
    parts.duty.offer(() -> parts.fleet.observe(generation));
    return generation.isAfter(parts.ledger.generation());
  }

  /** Takes a configuration that a peer has in force. */
  public void offer(ConfigGeneration generation, String yaml) {
    parts.duty.offer(() -> takeOffer(generation, yaml));
  }

  private void takeOffer(ConfigGeneration generation, String yaml) {
    parts.fleet.observe(generation);
    ImmutableList<ConfigChange> history = parts.ledger.document().history();
    parts.ledger.apply(new ConfigDocument(generation, yaml, history), ConfigSource.PEER);
  }

  /** Builds a keeper. Not thread safe. */
  public static final class Builder {
    private final Duty duty;
    private final TimerService timers;
    private final KeyValueStore store;
    private final ConfigTiming timing;
    private ConfigStorage disk = ConfigStorage.NONE;
    private InstantSource clock = InstantSource.system();
    private Supplier<String> nonces = () -> UUID.randomUUID().toString();
    private boolean hasPeers;

    private Builder(Duty duty, TimerService timers, KeyValueStore store, ConfigTiming timing) {
      this.duty = checkNotNull(duty, "duty");
      this.timers = checkNotNull(timers, "timers");
      this.store = checkNotNull(store, "store");
      this.timing = checkNotNull(timing, "timing");
    }

    /** Sets where the configuration is kept across restarts. */
    @CanIgnoreReturnValue
    public Builder disk(ConfigStorage disk) {
      this.disk = disk;
      return this;
    }

    /** Sets the clock that dates changes; nothing is decided by it. */
    @CanIgnoreReturnValue
    public Builder clock(InstantSource clock) {
      this.clock = clock;
      return this;
    }

    /** Sets the source of nonces, each of which is given once in the whole fleet. */
    @CanIgnoreReturnValue
    public Builder nonces(Supplier<String> nonces) {
      this.nonces = nonces;
      return this;
    }

    /** Sets whether there are peers, of which one has to be heard before a change is taken. */
    @CanIgnoreReturnValue
    public Builder hasPeers(boolean hasPeers) {
      this.hasPeers = hasPeers;
      return this;
    }

    /** Returns the keeper, not started. */
    public ConfigManager build() {
      return new ConfigManager(this);
    }
  }
}
