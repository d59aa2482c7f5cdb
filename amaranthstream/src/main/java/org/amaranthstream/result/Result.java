package org.amaranthstream.result;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Function;

/**
 * The result of an operation: either a value or an error with a result code.
 *
 * <pre>{@code
 * Result<Settings> result = SettingsLoader.load(path);
 * if (result instanceof Result.Failure<Settings> failure) {
 *   return failure.error();
 * }
 * }</pre>
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

  /** Returns a success with {@code value}. */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /** Returns a failure with {@code code} and {@code message}. */
  static <T> Result<T> failure(ResultCode code, String message) {
    return new Failure<>(new ErrorDetail(code, message));
  }

  /** Returns a failure with {@code error}. */
  static <T> Result<T> failure(ErrorDetail error) {
    return new Failure<>(error);
  }

  /** Returns a success with {@code function} applied to the value, or this failure's error. */
  default <R> Result<R> map(Function<? super T, ? extends R> function) {
    if (this instanceof Success<T> success) {
      return success(function.apply(success.value()));
    }
    return failure(((Failure<T>) this).error());
  }

  /** Returns the result of {@code function} for the value, or this failure's error. */
  default <R> Result<R> flatMap(Function<? super T, Result<R>> function) {
    if (this instanceof Success<T> success) {
      return function.apply(success.value());
    }
    return failure(((Failure<T>) this).error());
  }

  /**
   * A successful result.
   *
   * @param value the value
   * @param <T> the type of the value
   */
  record Success<T>(T value) implements Result<T> {
    /** Creates a success. */
    public Success {
      checkNotNull(value, "value");
    }
  }

  /**
   * A failed result.
   *
   * @param error the result code and message
   * @param <T> the type of the value of a successful result
   */
  record Failure<T>(ErrorDetail error) implements Result<T> {
    /** Creates a failure. */
    public Failure {
      checkNotNull(error, "error");
    }
  }
}
