package org.amaranthstream.http;

import org.jspecify.annotations.Nullable;

/**
 * Request that a response belongs to, as far as its receiver can establish it.
 *
 * <p>A faulty server may answer a request twice. The second response arrives where the response to
 * the next request on the same connection is expected, so that its position identifies it only on a
 * connection that carried no earlier request.
 */
public enum ResponseOrigin {
  /** The response names this request. */
  THIS_REQUEST(true),

  /** The response names no request, and its connection carried no request before this one. */
  FIRST_ON_CONNECTION(true),

  /** The response names no request and may belong to an earlier one. */
  UNIDENTIFIED(false),

  /** The response names another request. */
  OTHER_REQUEST(false);

  /** Header in which a request names itself, and which its response repeats. */
  public static final String HEADER = "Attempt";

  private final boolean isOwn;

  ResponseOrigin(boolean isOwn) {
    this.isOwn = isOwn;
  }

  /**
   * Returns the origin of a response to the request {@code id}.
   *
   * @param echoed the id that the response names, null if it names none
   * @param use the use of the connection for the request
   */
  public static ResponseOrigin of(String id, @Nullable String echoed, ConnectionUse use) {
    if (echoed != null) {
      return echoed.equals(id) ? THIS_REQUEST : OTHER_REQUEST;
    }
    return use.isFirst() ? FIRST_ON_CONNECTION : UNIDENTIFIED;
  }

  /** Returns true if the response certainly belongs to the request. */
  public boolean isOwn() {
    return isOwn;
  }
}
