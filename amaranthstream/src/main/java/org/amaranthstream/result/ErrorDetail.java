package org.amaranthstream.result;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A numbered error with a message for a person.
 *
 * @param code the result code
 * @param message one sentence that names what was found and what was expected
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
