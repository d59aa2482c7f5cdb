package org.amaranthstream.result;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A result code with an error message for people.
 *
 * @param code the result code
 * @param message a sentence that states the actual and the expected value
 */
public record ErrorDetail(ResultCode code, String message) {

  /** Creates an error. */
  public ErrorDetail {
    checkNotNull(code, "code");
    checkNotNull(message, "message");
  }

  /** Returns an error with {@code code} and {@code message}. */
  public static ErrorDetail of(ResultCode code, String message) {
    return new ErrorDetail(code, message);
  }

  @Override
  public String toString() {
    return code.number() + " " + code + ": " + message;
  }
}
