package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The requests that one kept connection to a backend server has carried, which decide what may
 * follow on it.
 *
 * <p>Guards against servers that answer a request twice, the second time where the next response is
 * expected. A response is believed only if it bears the ID of the request that was written last, or
 * if the connection has carried no other request. Because the ID belongs to the request and not to
 * the attempt, a connection carries each ID once; and because IDs are remembered, it carries a
 * bounded number of requests. Once a response did not belong, every later one on that connection
 * may be one late, so the connection carries no further request.
 *
 * <p>Not thread safe.
 */
public final class ConnectionHistory {
  /** Bounds the IDs that are remembered for each connection. */
  static final int MAX_REQUESTS = 256;

  private final long number;
  private final Set<String> requestIds = new HashSet<>();
  private Optional<String> lastId = Optional.empty();
  private boolean isRetired;

  private ConnectionHistory(long number) {
    this.number = number;
  }

  /**
   * Returns the history of a new connection.
   *
   * @param number distinguishes the connection in the log
   */
  public static ConnectionHistory of(long number) {
    return new ConnectionHistory(number);
  }

  /** Returns true if the connection has carried no request. */
  public boolean isEmpty() {
    return requestIds.isEmpty();
  }

  /** Returns true if a request with this ID may be written to the connection. */
  public boolean mayCarry(String requestId) {
    return !isRetired && requestIds.size() < MAX_REQUESTS && !requestIds.contains(requestId);
  }

  /**
   * Records that a request is written to the connection.
   *
   * @throws IllegalStateException if {@link #mayCarry} returns false for its ID
   */
  public void onSent(String requestId) {
    checkState(mayCarry(checkNotNull(requestId, "requestId")), "%s cannot carry more", this);
    requestIds.add(requestId);
    lastId = Optional.of(requestId);
  }

  /**
   * Returns true if a response is the one to the request that was written last.
   *
   * @param echoedId the ID that the response bears, empty if it bears none
   */
  public boolean isExpected(Optional<String> echoedId) {
    boolean isOnlyRequest = requestIds.size() == 1;
    return echoedId.isPresent() ? echoedId.equals(lastId) : isOnlyRequest;
  }

  /** Returns true if the connection has carried a request with this ID. */
  public boolean hasCarried(String requestId) {
    return requestIds.contains(requestId);
  }

  /** Records that the connection carries no further request. */
  public void retire() {
    isRetired = true;
  }

  /** Returns true if the connection carries no further request. */
  public boolean isRetired() {
    return isRetired;
  }

  @Override
  public String toString() {
    return "connection=" + number + " carried=" + requestIds.size();
  }
}
