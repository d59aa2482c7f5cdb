package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Address, credentials, timeouts and bounds of the peer links.
 *
 * <p>Immutable and thread safe.
 *
 * <pre>{@code
 * PeerLinkSettings settings =
 *     PeerLinkSettings.builder().host("10.0.0.5").port(7070).credentials(credentials).build();
 * }</pre>
 */
public final class PeerLinkSettings {
  private final String host;
  private final int port;
  private final PeerCredentials credentials;
  private final int maxFrameBytes;
  private final int maxLinkFrames;
  private final int maxLinkBytes;
  private final long maxTotalBytes;
  private final int maxInboundLinks;
  private final Duration heartbeatInterval;
  private final Duration keepAliveTimeout;
  private final Duration connectTimeout;
  private final Duration backoffMin;
  private final Duration backoffMax;

  private PeerLinkSettings(Builder builder) {
    this.host = builder.host;
    this.port = builder.port;
    this.credentials = checkNotNull(builder.credentials, "credentials");
    this.maxFrameBytes = builder.maxFrameBytes;
    this.maxLinkFrames = builder.maxLinkFrames;
    this.maxLinkBytes = builder.maxLinkBytes;
    this.maxTotalBytes = builder.maxTotalBytes;
    this.maxInboundLinks = builder.maxInboundLinks;
    this.heartbeatInterval = builder.heartbeatInterval;
    this.keepAliveTimeout = builder.keepAliveTimeout;
    this.connectTimeout = builder.connectTimeout;
    this.backoffMin = builder.backoffMin;
    this.backoffMax = builder.backoffMax;
    checkArgument(
        maxFrameBytes > 0, "maxFrameBytes is %s, expected a positive number", maxFrameBytes);
    checkArgument(
        maxLinkBytes >= maxFrameBytes,
        "maxLinkBytes %s is less than maxFrameBytes %s",
        maxLinkBytes,
        maxFrameBytes);
    checkArgument(
        keepAliveTimeout.compareTo(heartbeatInterval) > 0,
        "keepAliveTimeout %s is not longer than heartbeatInterval %s",
        keepAliveTimeout,
        heartbeatInterval);
    checkArgument(
        backoffMin.compareTo(backoffMax) <= 0,
        "backoffMin %s is longer than backoffMax %s",
        backoffMin,
        backoffMax);
  }

  /** Returns a builder with the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the IP address to listen on. */
  public String host() {
    return host;
  }

  /** Returns the port to listen on, 0 for any free port. */
  public int port() {
    return port;
  }

  /** Returns the credentials by which entry VMs authenticate each other. */
  public PeerCredentials credentials() {
    return credentials;
  }

  /** Returns the maximum size of a frame in bytes. */
  public int maxFrameBytes() {
    return maxFrameBytes;
  }

  /** Returns the maximum number of frames that wait to be written on one link. */
  public int maxLinkFrames() {
    return maxLinkFrames;
  }

  /** Returns the maximum number of bytes that wait to be written on one link. */
  public int maxLinkBytes() {
    return maxLinkBytes;
  }

  /** Returns the maximum number of bytes that wait to be written on all links together. */
  public long maxTotalBytes() {
    return maxTotalBytes;
  }

  /** Returns the maximum number of accepted connections that are open at a time. */
  public int maxInboundLinks() {
    return maxInboundLinks;
  }

  /** Returns the interval between heartbeats on a link. */
  public Duration heartbeatInterval() {
    return heartbeatInterval;
  }

  /** Returns the time without a received frame after which a connection is replaced. */
  public Duration keepAliveTimeout() {
    return keepAliveTimeout;
  }

  /** Returns the longest time to open a connection and authenticate both sides. */
  public Duration connectTimeout() {
    return connectTimeout;
  }

  /** Returns the upper bound of the first pause before a new connection attempt. */
  public Duration backoffMin() {
    return backoffMin;
  }

  /** Returns the upper bound of every pause before a new connection attempt. */
  public Duration backoffMax() {
    return backoffMax;
  }

  /** Builder of {@link PeerLinkSettings}. */
  public static final class Builder {
    private String host = "127.0.0.1";
    private int port;
    private @Nullable PeerCredentials credentials;
    private int maxFrameBytes = 1 << 20;
    private int maxLinkFrames = 1024;
    private int maxLinkBytes = 2 << 20;
    private long maxTotalBytes = 16L << 20;
    private int maxInboundLinks = 512;
    private Duration heartbeatInterval = Duration.ofSeconds(1);
    private Duration keepAliveTimeout = Duration.ofSeconds(3);
    private Duration connectTimeout = Duration.ofSeconds(2);
    private Duration backoffMin = Duration.ofMillis(100);
    private Duration backoffMax = Duration.ofSeconds(5);

    private Builder() {}

    /** Sets the IP address to listen on. */
    @CanIgnoreReturnValue
    public Builder host(String host) {
      this.host = host;
      return this;
    }

    /** Sets the port to listen on, 0 for any free port. */
    @CanIgnoreReturnValue
    public Builder port(int port) {
      this.port = port;
      return this;
    }

    /** Sets the credentials by which entry VMs authenticate each other. */
    @CanIgnoreReturnValue
    public Builder credentials(PeerCredentials credentials) {
      this.credentials = credentials;
      return this;
    }

    /** Sets the maximum size of a frame in bytes. */
    @CanIgnoreReturnValue
    public Builder maxFrameBytes(int maxFrameBytes) {
      this.maxFrameBytes = maxFrameBytes;
      return this;
    }

    /** Sets the maximum number of frames that wait to be written on one link. */
    @CanIgnoreReturnValue
    public Builder maxLinkFrames(int maxLinkFrames) {
      this.maxLinkFrames = maxLinkFrames;
      return this;
    }

    /** Sets the maximum number of bytes that wait to be written on one link. */
    @CanIgnoreReturnValue
    public Builder maxLinkBytes(int maxLinkBytes) {
      this.maxLinkBytes = maxLinkBytes;
      return this;
    }

    /** Sets the maximum number of bytes that wait to be written on all links together. */
    @CanIgnoreReturnValue
    public Builder maxTotalBytes(long maxTotalBytes) {
      this.maxTotalBytes = maxTotalBytes;
      return this;
    }

    /** Sets the maximum number of accepted connections that are open at a time. */
    @CanIgnoreReturnValue
    public Builder maxInboundLinks(int maxInboundLinks) {
      this.maxInboundLinks = maxInboundLinks;
      return this;
    }

    /** Sets the interval between heartbeats on a link. */
    @CanIgnoreReturnValue
    public Builder heartbeatInterval(Duration heartbeatInterval) {
      this.heartbeatInterval = heartbeatInterval;
      return this;
    }

    /** Sets the time without a received frame after which a connection is replaced. */
    @CanIgnoreReturnValue
    public Builder keepAliveTimeout(Duration keepAliveTimeout) {
      this.keepAliveTimeout = keepAliveTimeout;
      return this;
    }

    /** Sets the longest time to open a connection and authenticate both sides. */
    @CanIgnoreReturnValue
    public Builder connectTimeout(Duration connectTimeout) {
      this.connectTimeout = connectTimeout;
      return this;
    }

    /** Sets the upper bound of the first pause before a new connection attempt. */
    @CanIgnoreReturnValue
    public Builder backoffMin(Duration backoffMin) {
      this.backoffMin = backoffMin;
      return this;
    }

    /** Sets the upper bound of every pause before a new connection attempt. */
    @CanIgnoreReturnValue
    public Builder backoffMax(Duration backoffMax) {
      this.backoffMax = backoffMax;
      return this;
    }

    /**
     * Returns the settings.
     *
     * @throws IllegalArgumentException if a bound or a timeout is invalid
     * @throws NullPointerException if the credentials are not set
     */
    public PeerLinkSettings build() {
      return new PeerLinkSettings(this);
    }
  }
}
