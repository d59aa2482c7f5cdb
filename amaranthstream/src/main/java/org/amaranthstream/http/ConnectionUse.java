package org.amaranthstream.http;

/**
 * One use of an HTTP connection for a request.
 *
 * @param connection the number of the connection within its client
 * @param earlierRequests the number of requests that the connection carried before this one
 */
public record ConnectionUse(long connection, int earlierRequests) {

  /** Returns true if the connection carried no request before this one. */
  public boolean isFirst() {
    return earlierRequests == 0;
  }
}
