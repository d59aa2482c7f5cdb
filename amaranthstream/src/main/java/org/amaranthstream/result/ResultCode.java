package org.amaranthstream.result;

/**
 * Numbered result codes, documented for operators in {@code docs/RESULT-CODES.md}.
 *
 * <p>1xx: success. 2xx: rejected, the work was not run. 3xx: the outcome of the work is unknown.
 * 4xx: error of the caller. 5xx: error of the system or its environment.
 */
public enum ResultCode {
  OK(100, 200),
  ACCEPTED(101, 202),

  NOT_RUN_OVERLOADED(200, 503),
  NOT_RUN_DEADLINE(201, 503),
  NOT_RUN_NO_BACKEND(202, 503),
  NOT_RUN_QUARANTINED(203, 503),
  NOT_RUN_CLAIM_UNAVAILABLE(204, 503),
  NOT_RUN_KEY_EXPIRED(205, 409),
  NOT_RUN_SHUTTING_DOWN(206, 503),
  NOT_RUN_QUEUE_FULL(207, 503),
  NOT_RUN_ZONE_UNREACHABLE(208, 503),
  NOT_RUN_STALE(209, 409),
  NOT_RUN_CANCELLED(210, 499),

  OUTCOME_UNKNOWN_BACKEND_LOST(300, 502),
  OUTCOME_UNKNOWN_DEADLINE(301, 504),
  OUTCOME_UNKNOWN_PEER_LOST(302, 502),
  OUTCOME_UNKNOWN_PRIOR_RUN(303, 409),
  OUTCOME_UNKNOWN_CANCELLED(304, 499),
  OUTCOME_UNKNOWN_SHUTTING_DOWN(305, 504),

  UNAUTHENTICATED(400, 401),
  FORBIDDEN(401, 403),
  INVALID_REQUEST(402, 400),
  TOO_LARGE(403, 413),
  UNKNOWN_CLASS(404, 404),
  UNKNOWN_STEP(405, 404),
  INVALID_TOKEN(406, 400),
  CONFIG_CONFLICT(407, 409),
  CONFIG_INVALID(408, 422),
  UNKNOWN_REQUEST(409, 404),
  DUPLICATE_RUNNING(410, 409),
  INVALID_SETTINGS(411, 400),
  UNKNOWN_JOB(412, 404),
  UNKNOWN_ITEM(413, 404),
  NO_ROUTE(414, 404),
  HEADERS_TOO_LARGE(415, 431),

  INTERNAL(500, 500),
  BACKEND_FAILED(501, 502),
  PLATFORM_UNAVAILABLE(502, 503),
  PEER_UNREACHABLE(503, 503),
  CONFIG_OUTCOME_UNKNOWN(504, 503),
  BACKEND_ANSWER_INVALID(505, 502),
  RECORD_LOST(506, 410);

  private static final int NOT_RUN_GROUP = 2;
  private static final int GROUP_SIZE = 100;

  private final int number;
  private final int httpStatus;

  ResultCode(int number, int httpStatus) {
    this.number = number;
    this.httpStatus = httpStatus;
  }

  /** Returns the number, which callers and operators see. */
  public int number() {
    return number;
  }

  /** Returns true if the code promises that the work was not run and will not be. */
  public boolean isNotRun() {
    return number / GROUP_SIZE == NOT_RUN_GROUP;
  }

  /** Returns the HTTP status of responses with this code. */
  public int httpStatus() {
    return httpStatus;
  }
}
