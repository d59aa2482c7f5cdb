package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Addresses, credentials, timeouts and bounds of the peer links.
 *
 * <p>Immutable and thread safe.
 *
 * <pre>{@code
 * PeerSettings settings =
 *     PeerSettings.builder().host("10.0.0.5").port(7070).credentials(credentials).build();
 * }</pre>
 */
public final class PeerSettings {
  private final String host;
  private final int port;
  private final PeerCredentials credentials;
  private final int maxFrameBytes;
  private final int maxLinkFrames;
  private final int maxLinkBytes;
  private final long maxTotalBytes;
  private final int maxInboundLinks;
  private final Duration heartbeatPeriod;
  private final Duration silentAfter;
  private final Duration connectTimeout;
  private final Duration backoffMin;
  private final Duration backoffMax;

  private PeerSettings(Builder builder) {
    this.host = builder.host;
    this.port = builder.port;
    this.credentials = checkNotNull(builder.credentials, "credentials");
    this.maxFrameBytes = builder.maxFrameBytes;
    this.maxLinkFrames = builder.maxLinkFrames;
    this.maxLinkBytes = builder.maxLinkBytes;
    this.maxTotalBytes = builder.maxTotalBytes;
    this.maxInboundLinks = builder.maxInboundLinks;
    this.heartbeatPeriod = builder.heartbeatPeriod;
    this.silentAfter = builder.silentAfter;
    this.connectTimeout = builder.connectTimeout;
    this.backoffMin = builder.backoffMin;
    this.backoffMax = builder.backoffMax;
    checkArgument(maxFrameBytes > 0, "maxFrameBytes is %s", maxFrameBytes);
    checkArgument(
        maxLinkBytes >= maxFrameBytes,
        "maxLinkBytes %s is below maxFrameBytes %s",
        maxLinkBytes,
        maxFrameBytes);
    checkArgument(
        silentAfter.compareTo(heartbeatPeriod) > 0,
        "silentAfter %s is not above heartbeatPeriod %s",
        silentAfter,
        heartbeatPeriod);
    checkArgument(
        backoffMin.compareTo(backoffMax) <= 0,
        "backoffMin %s is above backoffMax %s",
        backoffMin,
        backoffMax);
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the IP number to listen on. */
  public String host() {
    return host;
  }

  /** Returns the port to listen on, 0 for any. */
  public int port() {
    return port;
  }

  /** Returns how entry VMs prove who they are. */
  public PeerCredentials credentials() {
    return credentials;
  }

  /** Returns the greatest size of a frame in bytes. */
  public int maxFrameBytes() {
    return maxFrameBytes;
  }

  /** Returns the number of frames that may wait on one link. */
  public int maxLinkFrames() {
    return maxLinkFrames;
  }

  /** Returns the number of bytes that may wait on one link. */
  public int maxLinkBytes() {
    return maxLinkBytes;
  }

  /** Returns the number of bytes that may wait on all links together. */
  public long maxTotalBytes() {
    return maxTotalBytes;
  }

  /** Returns the number of connections that are accepted at a time. */
  public int maxInboundLinks() {
    return maxInboundLinks;
  }

  /** Returns the time between two heartbeats on a link. */
  public Duration heartbeatPeriod() {
    return heartbeatPeriod;
  }

  /** Returns the time without an answer after which a connection is replaced. */
  public Duration silentAfter() {
    return silentAfter;
  }

  /** Returns the time within which a connection is made and both sides have proved themselves. */
  public Duration connectTimeout() {
    return connectTimeout;
  }

  /** Returns the first pause before a connection is tried again. */
  public Duration backoffMin() {
    return backoffMin;
  }

  /** Returns the longest pause before a connection is tried again. */
  public Duration backoffMax() {
    return backoffMax;
  }

  /** Builder of {@link PeerSettings}. */
  public static final class Builder {
    private String host = "127.0.0.1";
    private int port;
    private @Nullable PeerCredentials credentials;
    private int maxFrameBytes = 1 << 20;
    private int maxLinkFrames = 1024;
    private int maxLinkBytes = 2 << 20;
    private long maxTotalBytes = 16L << 20;
    private int maxInboundLinks = 512;
    private Duration heartbeatPeriod = Duration.ofSeconds(1);
    private Duration silentAfter = Duration.ofSeconds(3);
    private Duration connectTimeout = Duration.ofSeconds(2);
    private Duration backoffMin = Duration.ofMillis(100);
    private Duration backoffMax = Duration.ofSeconds(5);

    private Builder() {}

    /** Sets the IP number to listen on. */
    @CanIgnoreReturnValue
    public Builder host(String host) {
      this.host = host;
      return this;
    }

    /** Sets the port to listen on, 0 for any. */
    @CanIgnoreReturnValue
    public Builder port(int port) {
      this.port = port;
      return this;
    }

    /** Sets how entry VMs prove who they are. */
    @CanIgnoreReturnValue
    public Builder credentials(PeerCredentials credentials) {
      this.credentials = credentials;
      return this;
    }

    /** Sets the greatest size of a frame in bytes. */
    @CanIgnoreReturnValue
    public Builder maxFrameBytes(int maxFrameBytes) {
      this.maxFrameBytes = maxFrameBytes;
      return this;
    }

    /** Sets the number of frames that may wait on one link. */
    @CanIgnoreReturnValue
    public Builder maxLinkFrames(int maxLinkFrames) {
      this.maxLinkFrames = maxLinkFrames;
      return this;
    }

    /** Sets the number of bytes that may wait on one link. */
    @CanIgnoreReturnValue
    public Builder maxLinkBytes(int maxLinkBytes) {
      this.maxLinkBytes = maxLinkBytes;
      return this;
    }

    /** Sets the number of bytes that may wait on all links together. */
    @CanIgnoreReturnValue
    public Builder maxTotalBytes(long maxTotalBytes) {
      this.maxTotalBytes = maxTotalBytes;
      return this;
    }

    /** Sets the number of connections that are accepted at a time. */
    @CanIgnoreReturnValue
    public Builder maxInboundLinks(int maxInboundLinks) {
      this.maxInboundLinks = maxInboundLinks;
      return this;
    }

    /** Sets the time between two heartbeats on a link. */
    @CanIgnoreReturnValue
    public Builder heartbeatPeriod(Duration heartbeatPeriod) {
      this.heartbeatPeriod = heartbeatPeriod;
      return this;
    }

    /** Sets the time without an answer after which a connection is replaced. */
    @CanIgnoreReturnValue
    public Builder silentAfter(Duration silentAfter) {
      this.silentAfter = silentAfter;
      return this;
    }

    /** Sets the time within which a connection is made and both sides have proved themselves. */
    @CanIgnoreReturnValue
    public Builder connectTimeout(Duration connectTimeout) {
      this.connectTimeout = connectTimeout;
      return this;
    }

    /** Sets the first pause before a connection is tried again. */
    @CanIgnoreReturnValue
    public Builder backoffMin(Duration backoffMin) {
      this.backoffMin = backoffMin;
      return this;
    }

    /** Sets the longest pause before a connection is tried again. */
    @CanIgnoreReturnValue
    public Builder backoffMax(Duration backoffMax) {
      this.backoffMax = backoffMax;
      return this;
    }

    /**
     * Returns the settings.
     *
     * @throws IllegalArgumentException if a bound or a timeout is out of range
     */
    public PeerSettings build() {
      return new PeerSettings(this);
    }
  }
}
