package org.amaranthstream.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The status of a final HTTP response: 200 to 599 (RFC 9110, section 15). No other number can be
 * held, so that a response without a valid status can be passed on nowhere.
 *
 * @param code the number
 */
public record HttpStatus(int code) {
  private static final int MIN_FINAL = 200;
  private static final int MIN_REDIRECT = 300;
  private static final int MIN_SERVER_ERROR = 500;
  private static final int MAX = 599;

  /**
   * Creates a status.
   *
   * @throws IllegalArgumentException if it is none of a final response
   */
  public HttpStatus {
    checkArgument(isFinal(code), "%s is no status of a final HTTP response", code);
  }

  /**
   * Returns the status with a number.
   *
   * @throws IllegalArgumentException if it is none of a final response
   */
  public static HttpStatus of(int code) {
    return new HttpStatus(code);
  }

  /** Returns true if a final response may have the status. */
  public static boolean isFinal(int code) {
    return code >= MIN_FINAL && code <= MAX;
  }

  /** Returns true if the status is a success (2xx). */
  public boolean isSuccess() {
    return code < MIN_REDIRECT;
  }

  /** Returns true if the status is a server error (5xx). */
  public boolean isServerError() {
    return code >= MIN_SERVER_ERROR;
  }

  @Override
  public String toString() {
    return Integer.toString(code);
  }
}
