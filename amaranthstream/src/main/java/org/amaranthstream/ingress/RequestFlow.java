package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a caller's connection may make a server keep. A connection has one request at a time: the
 * next one is decoded once the response before it is written, and little is read ahead. Used on the
 * event loop of the connection.
 *
 * <pre>{@code
 * RequestFlow flow =
 *     RequestFlow.builder()
 *         .onResponseWritten(() -> connections.onResponseWritten(connection))
 *         .build();
 * StrictFraming.apply(connection, options, flow);
 * }</pre>
 */
public final class RequestFlow {
  private final Runnable onResponseWritten;

  private RequestFlow(Builder builder) {
    this.onResponseWritten = checkNotNull(builder.onResponseWritten, "onResponseWritten");
  }

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  void onResponseWritten() {
    onResponseWritten.run();
  }

  /** Builder of a flow. */
  public static final class Builder {
    private Runnable onResponseWritten = () -> {};

    private Builder() {}

    /** Sets what is called each time the connection has taken a whole response. */
    public Builder onResponseWritten(Runnable onResponseWritten) {
      this.onResponseWritten = onResponseWritten;
      return this;
    }

    /** Builds the flow. */
    public RequestFlow build() {
      return new RequestFlow(this);
    }
  }
}
