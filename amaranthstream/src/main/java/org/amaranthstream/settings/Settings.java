package org.amaranthstream.settings;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Optional;
import org.amaranthstream.auth.Credential;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RegionId;
import org.jspecify.annotations.Nullable;

/**
 * The settings of one process of an entry VM.
 *
 * <p>Immutable and thread safe. {@link SettingsLoader} reads them from YAML. {@link SettingsDump}
 * converts them to JSON without secrets.
 *
 * <pre>{@code
 * Result<Settings> settings = SettingsLoader.load(Path.of("settings.yaml"));
 * }</pre>
 */
public final class Settings {
  private final EntryVmId vm;
  private final RegionId region;
  private final AvailabilityZoneId zone;
  private final ListenAddress http;
  private final PeerSettings peer;
  private final PlatformSettings platform;
  private final ImmutableList<PeerSeed> peers;
  private final ImmutableList<Credential> callers;
  private final ImmutableList<DeliveryKey> deliveryKeys;
  private final Optional<Path> dataFolder;
  private final Limits limits;
  private final Timing timing;

  private Settings(Builder builder) {
    this.vm = required(builder.vm, "vm");
    this.region = required(builder.region, "region");
    this.zone = required(builder.zone, "zone");
    this.http = required(builder.http, "http");
    this.peer = required(builder.peer, "peer");
    this.platform = required(builder.platform, "platform");
    this.peers = builder.peers;
    this.callers = builder.callers;
    this.deliveryKeys = builder.deliveryKeys;
    this.dataFolder = builder.dataFolder;
    this.limits = builder.limits;
    this.timing = builder.timing;
    checkState(!deliveryKeys.isEmpty(), "deliveryKeys is empty");
  }

  /** Returns a builder with defaults for the optional values and none for the required ones. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the name of this entry VM. */
  public EntryVmId vm() {
    return vm;
  }

  /** Returns the region of this entry VM. */
  public RegionId region() {
    return region;
  }

  /** Returns the availability zone of this entry VM. */
  public AvailabilityZoneId zone() {
    return zone;
  }

  /** Returns the address on which the HTTP server listens. */
  public ListenAddress http() {
    return http;
  }

  /** Returns the settings of the peer links of this entry VM. */
  public PeerSettings peer() {
    return peer;
  }

  /** Returns the address and credential of the platform's services. */
  public PlatformSettings platform() {
    return platform;
  }

  /** Returns the entry VMs that are known before the platform's VM list has been read. */
  public ImmutableList<PeerSeed> peers() {
    return peers;
  }

  /** Returns the credentials of the callers, trainers and operators that may send requests. */
  public ImmutableList<Credential> callers() {
    return callers;
  }

  /** Returns the keys of delivery tokens: the first signs tokens, and all verify them. */
  public ImmutableList<DeliveryKey> deliveryKeys() {
    return deliveryKeys;
  }

  /** Returns the folder for bulk data, or empty if this VM stores no data on disk. */
  public Optional<Path> dataFolder() {
    return dataFolder;
  }

  /** Returns the limits on what the process reads, queues and keeps in memory. */
  public Limits limits() {
    return limits;
  }

  /** Returns the intervals and timeouts. */
  public Timing timing() {
    return timing;
  }

  private static <T> T required(@Nullable T value, String key) {
    checkState(value != null, "%s is missing", key);
    return value;
  }

  /** Builder of {@link Settings}. Not thread safe. */
  public static final class Builder {
    private @Nullable EntryVmId vm;
    private @Nullable RegionId region;
    private @Nullable AvailabilityZoneId zone;
    private @Nullable ListenAddress http;
    private @Nullable PeerSettings peer;
    private @Nullable PlatformSettings platform;
    private ImmutableList<PeerSeed> peers = ImmutableList.of();
    private ImmutableList<Credential> callers = ImmutableList.of();
    private ImmutableList<DeliveryKey> deliveryKeys = ImmutableList.of();
    private Optional<Path> dataFolder = Optional.empty();
    private Limits limits = Limits.defaults();
    private Timing timing = Timing.defaults();

    private Builder() {}

    /** Sets the name, region and availability zone of this entry VM. */
    @CanIgnoreReturnValue
    public Builder identity(EntryVmId vm, RegionId region, AvailabilityZoneId zone) {
      this.vm = vm;
      this.region = region;
      this.zone = zone;
      return this;
    }

    /** Sets the address on which the HTTP server listens. */
    @CanIgnoreReturnValue
    public Builder http(ListenAddress http) {
      this.http = http;
      return this;
    }

    /** Sets the settings of the peer links. */
    @CanIgnoreReturnValue
    public Builder peer(PeerSettings peer) {
      this.peer = peer;
      return this;
    }

    /** Sets the address and credential of the platform's services. */
    @CanIgnoreReturnValue
    public Builder platform(PlatformSettings platform) {
      this.platform = platform;
      return this;
    }

    /** Sets the entry VMs that are known before the platform's VM list has been read. */
    @CanIgnoreReturnValue
    public Builder peers(Collection<PeerSeed> peers) {
      this.peers = ImmutableList.copyOf(peers);
      return this;
    }

    /** Sets the credentials of the callers, trainers and operators that may send requests. */
    @CanIgnoreReturnValue
    public Builder callers(Collection<Credential> callers) {
      this.callers = ImmutableList.copyOf(callers);
      return this;
    }

    /** Sets the keys of delivery tokens: the first signs tokens, and all verify them. */
    @CanIgnoreReturnValue
    public Builder deliveryKeys(Collection<DeliveryKey> deliveryKeys) {
      this.deliveryKeys = ImmutableList.copyOf(deliveryKeys);
      return this;
    }

    /** Sets the folder for bulk data. */
    @CanIgnoreReturnValue
    public Builder dataFolder(Path dataFolder) {
      this.dataFolder = Optional.of(dataFolder);
      return this;
    }

    /** Sets the limits on what the process reads, queues and keeps in memory. */
    @CanIgnoreReturnValue
    public Builder limits(Limits limits) {
      this.limits = limits;
      return this;
    }

    /** Sets the intervals and timeouts. */
    @CanIgnoreReturnValue
    public Builder timing(Timing timing) {
      this.timing = timing;
      return this;
    }

    /**
     * Returns the settings.
     *
     * @throws IllegalStateException if a required value or a delivery key is missing
     */
    public Settings build() {
      return new Settings(this);
    }
  }
}
