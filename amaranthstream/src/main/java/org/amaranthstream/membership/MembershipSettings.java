package org.amaranthstream.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;

/**
 * Timeouts and counts of the membership table.
 *
 * <p>Immutable and thread safe.
 *
 * <pre>{@code
 * MembershipSettings settings =
 *     MembershipSettings.builder().suspectAfter(Duration.ofSeconds(3)).build();
 * }</pre>
 */
public final class MembershipSettings {
  private final Duration suspectAfter;
  private final Duration unreachableAfter;
  private final int heartbeatsToRecover;
  private final int crossZoneLinks;
  private final int speakers;
  private final Duration backupPollAfter;
  private final Duration reportExpiry;
  private final Duration aggregateExpiry;
  private final Duration leavingRetention;
  private final Duration leavingClearAfter;
  private final Duration linkRetryAfter;
  private final Duration relaySkew;

  private MembershipSettings(Builder builder) {
    this.suspectAfter = builder.suspectAfter;
    this.unreachableAfter = builder.unreachableAfter;
    this.heartbeatsToRecover = builder.heartbeatsToRecover;
    this.crossZoneLinks = builder.crossZoneLinks;
    this.speakers = builder.speakers;
    this.backupPollAfter = builder.backupPollAfter;
    this.reportExpiry = builder.reportExpiry;
    this.aggregateExpiry = builder.aggregateExpiry;
    this.leavingRetention = builder.leavingRetention;
    this.leavingClearAfter = builder.leavingClearAfter;
    this.linkRetryAfter = builder.linkRetryAfter;
    this.relaySkew = builder.relaySkew;
    checkArgument(
        suspectAfter.compareTo(unreachableAfter) < 0,
        "suspectAfter %s must be less than unreachableAfter %s",
        suspectAfter,
        unreachableAfter);
    checkArgument(
        heartbeatsToRecover >= 1,
        "heartbeatsToRecover is %s, expected at least 1",
        heartbeatsToRecover);
    checkArgument(crossZoneLinks >= 1, "crossZoneLinks is %s, expected at least 1", crossZoneLinks);
    checkArgument(speakers >= 1, "speakers is %s, expected at least 1", speakers);
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns how long after its last heartbeat an entry VM becomes suspect. */
  public Duration suspectAfter() {
    return suspectAfter;
  }

  /** Returns how long after its last heartbeat an entry VM becomes unreachable. */
  public Duration unreachableAfter() {
    return unreachableAfter;
  }

  /** Returns the number of timely heartbeats that make an unreachable entry VM reachable. */
  public int heartbeatsToRecover() {
    return heartbeatsToRecover;
  }

  /** Returns the number of links that a daemon keeps to each other availability zone. */
  public int crossZoneLinks() {
    return crossZoneLinks;
  }

  /** Returns the number of daemons of a zone that send its aggregates to other zones. */
  public int speakers() {
    return speakers;
  }

  /** Returns the age of a load report at which the next daemon in rendezvous order polls too. */
  public Duration backupPollAfter() {
    return backupPollAfter;
  }

  /** Returns the age at which a load report expires and is no longer relayed or aggregated. */
  public Duration reportExpiry() {
    return reportExpiry;
  }

  /** Returns the age at which the aggregate of another zone expires. */
  public Duration aggregateExpiry() {
    return aggregateExpiry;
  }

  /** Returns how long a server's leaving state is kept after the VM list dropped the server. */
  public Duration leavingRetention() {
    return leavingRetention;
  }

  /** Returns how long a server stays leaving after the last VM list that marked it as leaving. */
  public Duration leavingClearAfter() {
    return leavingClearAfter;
  }

  /** Returns how long a cross-zone link that failed is avoided. */
  public Duration linkRetryAfter() {
    return linkRetryAfter;
  }

  /** Returns the maximum time by which a relayed load report may appear younger than it is. */
  public Duration relaySkew() {
    return relaySkew;
  }

  /** Builder of {@link MembershipSettings}. */
  public static final class Builder {
    private Duration suspectAfter = Duration.ofSeconds(3);
    private Duration unreachableAfter = Duration.ofSeconds(6);
    private int heartbeatsToRecover = 3;
    private int crossZoneLinks = 2;
    private int speakers = 2;
    private Duration backupPollAfter = Duration.ofSeconds(3);
    private Duration reportExpiry = Duration.ofSeconds(10);
    private Duration aggregateExpiry = Duration.ofSeconds(10);
    private Duration leavingRetention = Duration.ofHours(1);
    private Duration leavingClearAfter = Duration.ofSeconds(30);
    private Duration linkRetryAfter = Duration.ofSeconds(30);
    private Duration relaySkew = Duration.ofSeconds(3);

    private Builder() {}

    /** Sets how long after its last heartbeat an entry VM becomes suspect. */
    @CanIgnoreReturnValue
    public Builder suspectAfter(Duration suspectAfter) {
      this.suspectAfter = suspectAfter;
      return this;
    }

    /** Sets how long after its last heartbeat an entry VM becomes unreachable. */
    @CanIgnoreReturnValue
    public Builder unreachableAfter(Duration unreachableAfter) {
      this.unreachableAfter = unreachableAfter;
      return this;
    }

    /** Sets the number of timely heartbeats that make an unreachable entry VM reachable. */
    @CanIgnoreReturnValue
    public Builder heartbeatsToRecover(int heartbeatsToRecover) {
      this.heartbeatsToRecover = heartbeatsToRecover;
      return this;
    }

    /** Sets the number of links that a daemon keeps to each other availability zone. */
    @CanIgnoreReturnValue
    public Builder crossZoneLinks(int crossZoneLinks) {
      this.crossZoneLinks = crossZoneLinks;
      return this;
    }

    /** Sets the number of daemons of a zone that send its aggregates to other zones. */
    @CanIgnoreReturnValue
    public Builder speakers(int speakers) {
      this.speakers = speakers;
      return this;
    }

    /** Sets the age of a load report at which the next daemon in rendezvous order polls too. */
    @CanIgnoreReturnValue
    public Builder backupPollAfter(Duration backupPollAfter) {
      this.backupPollAfter = backupPollAfter;
      return this;
    }

    /** Sets the age at which a load report expires and is no longer relayed or aggregated. */
    @CanIgnoreReturnValue
    public Builder reportExpiry(Duration reportExpiry) {
      this.reportExpiry = reportExpiry;
      return this;
    }

    /** Sets the age at which the aggregate of another zone expires. */
    @CanIgnoreReturnValue
    public Builder aggregateExpiry(Duration aggregateExpiry) {
      this.aggregateExpiry = aggregateExpiry;
      return this;
    }

    /** Sets how long a server's leaving state is kept after the VM list dropped the server. */
    @CanIgnoreReturnValue
    public Builder leavingRetention(Duration leavingRetention) {
      this.leavingRetention = leavingRetention;
      return this;
    }

    /** Sets how long a server stays leaving after the last VM list that marked it as leaving. */
    @CanIgnoreReturnValue
    public Builder leavingClearAfter(Duration leavingClearAfter) {
      this.leavingClearAfter = leavingClearAfter;
      return this;
    }

    /** Sets how long a cross-zone link that failed is avoided. */
    @CanIgnoreReturnValue
    public Builder linkRetryAfter(Duration linkRetryAfter) {
      this.linkRetryAfter = linkRetryAfter;
      return this;
    }

    /** Sets the maximum time by which a relayed load report may appear younger than it is. */
    @CanIgnoreReturnValue
    public Builder relaySkew(Duration relaySkew) {
      this.relaySkew = relaySkew;
      return this;
    }

    /**
     * Returns the settings.
     *
     * @throws IllegalArgumentException if a timeout or a count is out of range
     */
    public MembershipSettings build() {
      return new MembershipSettings(this);
    }
  }
}
