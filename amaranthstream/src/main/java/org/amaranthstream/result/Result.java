package org.amaranthstream.result;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Function;

/**
 * Either a value or a numbered error.
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

  /** Returns the result of applying {@code function} to the value, or the same failure. */
  default <R> Result<R> map(Function<? super T, ? extends R> function) {
    if (this instanceof Success<T> success) {
      return success(function.apply(success.value()));
    }
    return failure(((Failure<T>) this).error());
  }

  /** Returns the result that {@code function} makes of the value, or the same failure. */
  default <R> Result<R> flatMap(Function<? super T, Result<R>> function) {
    if (this instanceof Success<T> success) {
      return function.apply(success.value());
    }
    return failure(((Failure<T>) this).error());
  }

  /**
   * A value.
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
   * An error.
   *
   * @param error what went wrong
   * @param <T> the type that a success would have had
   */
  record Failure<T>(ErrorDetail error) implements Result<T> {
    /** Creates a failure. */
    public Failure {
      checkNotNull(error, "error");
    }
  }
}
