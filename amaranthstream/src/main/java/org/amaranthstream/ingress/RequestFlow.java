package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.IntSupplier;
import org.amaranthstream.memory.MemoryBudget;

/**
 * What a caller's connection may make a server keep. A connection has one request at a time: the
 * next one is decoded once the response before it is written, and little is read ahead. A head is
 * decoded once it is whole, not too long, and there is memory for its decoded form. An ordinary
 * head always has it, and a head of very many lines has room in a memory budget. Used on the event
 * loop of the connection.
 *
 * <pre>{@code
 * RequestFlow flow =
 *     RequestFlow.builder()
 *         .maxHeadBytes(() -> limits.maxHeaderBytes())
 *         .memory(budget)
 *         .onResponseWritten(() -> connections.onResponseWritten(connection))
 *         .build();
 * StrictFraming.apply(connection, options, flow);
 * }</pre>
 */
public final class RequestFlow {
  private final IntSupplier maxHeadBytes;
  private final MemoryBudget memory;
  private final Runnable onResponseWritten;

  private RequestFlow(Builder builder) {
    this.maxHeadBytes = checkNotNull(builder.maxHeadBytes, "maxHeadBytes");
    this.memory = checkNotNull(builder.memory, "memory");
    this.onResponseWritten = checkNotNull(builder.onResponseWritten, "onResponseWritten");
  }

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the maximum length of a head as it is sent. */
  int maxHeadBytes() {
    return maxHeadBytes.getAsInt();
  }

  MemoryBudget memory() {
    return memory;
  }

  void onResponseWritten() {
    onResponseWritten.run();
  }

  /** Builder of a flow. */
  public static final class Builder {
    private IntSupplier maxHeadBytes = () -> Integer.MAX_VALUE;
    private MemoryBudget memory = MemoryBudget.unlimited();
    private Runnable onResponseWritten = () -> {};

    private Builder() {}

    /** Sets the source of the maximum length of a head, which may change. Unlimited by default. */
    public Builder maxHeadBytes(IntSupplier maxHeadBytes) {
      this.maxHeadBytes = maxHeadBytes;
      return this;
    }

    /** Sets the budget for heads and requests. Unlimited by default. */
    public Builder memory(MemoryBudget memory) {
      this.memory = memory;
      return this;
    }

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
