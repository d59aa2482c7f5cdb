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
 * <p>Made for servers that answer a request twice, the second time where the next response is
 * expected. A response is believed only if it bears the ID of the request that was written last, or
 * if the connection has carried no other request. Once a response did not belong, every later one
 * on that connection may be one late, so the connection carries no further request.
 *
 * <p>Not thread safe.
 */
public final class ConnectionHistory {
  private final long number;
  private final Set<String> requestIds = new HashSet<>();
  private int requests;
  private Optional<String> lastId = Optional.empty();
  private boolean isUsable = true;

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

  /** Returns true if another request may be written to the connection. */
  public boolean isUsable() {
    return isUsable;
  }

  /**
   * Records that a request is written to the connection.
   *
   * @throws IllegalStateException if {@link #isUsable} returns false
   */
  public void onSent(String requestId) {
    checkState(isUsable, "%s cannot carry more", this);
    requestIds.add(checkNotNull(requestId, "requestId"));
    requests++;
    lastId = Optional.of(requestId);
  }

  /**
   * Returns true if a response is the one to the request that was written last.
   *
   * @param echoedId the ID that the response bears, empty if it bears none
   */
  public boolean isExpected(Optional<String> echoedId) {
    boolean isOnlyRequest = requests == 1;
    return echoedId.isPresent() ? echoedId.equals(lastId) : isOnlyRequest;
  }

  /** Returns true if the connection has carried a request with this ID. */
  public boolean hasCarried(String requestId) {
    return requestIds.contains(requestId);
  }

  /** Records that the connection carries no further request. */
  public void retire() {
    isUsable = false;
  }

  @Override
  public String toString() {
    return "connection=" + number + " carried=" + requests;
  }
}
