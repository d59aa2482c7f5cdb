package org.amaranthstream.platform;

import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Conversions of failed platform calls to errors and replies. */
final class PlatformErrors {
  private static final int CLIENT_ERROR = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private PlatformErrors() {}

  /** Returns true if the status is an error other than the protocol's 404 and 409. */
  static boolean isError(PlatformReply.Answered answered) {
    int status = answered.status();
    return status >= CLIENT_ERROR && status != NOT_FOUND && status != CONFLICT;
  }

  /** Returns a failure that describes the unexpected {@code reply}. */
  static <T> Result<T> failure(PlatformReply reply) {
    return Result.failure(ResultCode.PLATFORM_UNAVAILABLE, reply.describe());
  }

  /** Returns the reply to a conditional write that neither succeeded nor conflicted. */
  static WriteReply writeReply(PlatformReply reply) {
    if (reply instanceof PlatformReply.NotSent notSent) {
      return new WriteReply.Unavailable(notSent.reason(), notSent.retryAfter());
    }
    if (reply instanceof PlatformReply.Answered answered && isWithoutEffect(answered.status())) {
      return new WriteReply.Unavailable(reply.describe(), answered.retryAfter());
    }
    return new WriteReply.Unknown(reply.describe());
  }

  private static boolean isWithoutEffect(int status) {
    boolean isRefused = status >= CLIENT_ERROR && status < SERVER_ERROR;
    return isRefused || status == UNAVAILABLE;
  }
}
