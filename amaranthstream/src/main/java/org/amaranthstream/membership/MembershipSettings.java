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
        "suspectAfter %s is not below unreachableAfter %s",
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

  /** Returns the time without a heartbeat after which an entry VM is suspect. */
  public Duration suspectAfter() {
    return suspectAfter;
  }

  /** Returns the time without a heartbeat after which an entry VM is unreachable. */
  public Duration unreachableAfter() {
    return unreachableAfter;
  }

  /** Returns the number of timely heartbeats after which an unreachable entry VM is back. */
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

  /** Returns the age of a load report after which the next daemon in order polls as well. */
  public Duration backupPollAfter() {
    return backupPollAfter;
  }

  /** Returns the age after which a load report is not passed on. */
  public Duration reportExpiry() {
    return reportExpiry;
  }

  /** Returns the age after which the aggregate of another zone is not used. */
  public Duration aggregateExpiry() {
    return aggregateExpiry;
  }

  /** Returns the time for which a server that is gone from the list is known to have left. */
  public Duration leavingRetention() {
    return leavingRetention;
  }

  /** Returns the time that the list must deny an announced leaving before it is believed. */
  public Duration leavingClearAfter() {
    return leavingClearAfter;
  }

  /** Returns the time for which a cross-zone link that failed is not chosen again. */
  public Duration linkRetryAfter() {
    return linkRetryAfter;
  }

  /** Returns how much younger than the truth a passed-on load report may look. */
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

    /** Sets the time without a heartbeat after which an entry VM is suspect. */
    @CanIgnoreReturnValue
    public Builder suspectAfter(Duration suspectAfter) {
      this.suspectAfter = suspectAfter;
      return this;
    }

    /** Sets the time without a heartbeat after which an entry VM is unreachable. */
    @CanIgnoreReturnValue
    public Builder unreachableAfter(Duration unreachableAfter) {
      this.unreachableAfter = unreachableAfter;
      return this;
    }

    /** Sets the number of timely heartbeats after which an unreachable entry VM is back. */
    @CanIgnoreReturnValue
    public Builder heartbeatsToRecover(int heartbeatsToRecover) {
      this.heartbeatsToRecover = heartbeatsToRecover;
      return this;
    }

    /** Sets the number of links to each other availability zone. */
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

    /** Sets the age of a load report after which the next daemon in order polls as well. */
    @CanIgnoreReturnValue
    public Builder backupPollAfter(Duration backupPollAfter) {
      this.backupPollAfter = backupPollAfter;
      return this;
    }

    /** Sets the age after which a load report is not passed on. */
    @CanIgnoreReturnValue
    public Builder reportExpiry(Duration reportExpiry) {
      this.reportExpiry = reportExpiry;
      return this;
    }

    /** Sets the age after which the aggregate of another zone is not used. */
    @CanIgnoreReturnValue
    public Builder aggregateExpiry(Duration aggregateExpiry) {
      this.aggregateExpiry = aggregateExpiry;
      return this;
    }

    /** Sets the time for which a server that is gone from the list is known to have left. */
    @CanIgnoreReturnValue
    public Builder leavingRetention(Duration leavingRetention) {
      this.leavingRetention = leavingRetention;
      return this;
    }

    /** Sets the time that the list must deny an announced leaving before it is believed. */
    @CanIgnoreReturnValue
    public Builder leavingClearAfter(Duration leavingClearAfter) {
      this.leavingClearAfter = leavingClearAfter;
      return this;
    }

    /** Sets the time for which a cross-zone link that failed is not chosen again. */
    @CanIgnoreReturnValue
    public Builder linkRetryAfter(Duration linkRetryAfter) {
      this.linkRetryAfter = linkRetryAfter;
      return this;
    }

    /** Sets how much younger than the truth a passed-on load report may look. */
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
