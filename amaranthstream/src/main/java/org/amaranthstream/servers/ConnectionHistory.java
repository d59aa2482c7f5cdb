package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashSet;
import java.util.Set;

/**
 * The requests that one kept connection to a backend server has carried.
 *
 * <p>Not thread safe.
 */
public final class ConnectionHistory {
  private final long number;
  private final Set<String> requestIds = new HashSet<>();
  private int requests;

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

  /** Records that a request is written to the connection. */
  public void onSent(String requestId) {
    requestIds.add(checkNotNull(requestId, "requestId"));
    requests++;
  }

  /** Returns true if the connection has carried a request with this ID. */
  public boolean hasCarried(String requestId) {
    return requestIds.contains(requestId);
  }

  @Override
  public String toString() {
    return "connection=" + number + " carried=" + requests;
  }
}
