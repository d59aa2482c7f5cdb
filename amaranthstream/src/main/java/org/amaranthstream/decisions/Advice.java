package org.amaranthstream.decisions;

import com.google.common.base.Enums;
import java.util.Optional;
import org.amaranthstream.result.ResultCode;

/** What an operator can do about a request that ended with a code. */
final class Advice {
  private Advice() {}

  static Optional<String> forCode(String name) {
    ResultCode code = Enums.getIfPresent(ResultCode.class, name).orNull();
    return code == null ? Optional.empty() : Optional.ofNullable(advice(code));
  }

  private static String advice(ResultCode code) {
    return switch (code) {
      case NOT_RUN_OVERLOADED, NOT_RUN_QUEUE_FULL ->
          "the pool has too few slots for the load; the caller may come back after the time given,"
              + " and if this lasts, add backend servers or lower the class's load.";
      case NOT_RUN_DEADLINE ->
          "the deadline is shorter than the pool's present answer time; compare the class's answer"
              + " deadline with the latency of the pool.";
      case NOT_RUN_NO_BACKEND ->
          "no server of the pool could take it; look in the status for servers that leave, cannot"
              + " be reached or still load the weight version asked for.";
      case NOT_RUN_QUARANTINED ->
          "this content crashed two backend servers; find its caller, do not raise the pool, and"
              + " let the quarantine lapse or change the content.";
      case NOT_RUN_STALE -> "the servers' weights were too old; look at the weight rollout.";
      case NOT_RUN_ZONE_UNREACHABLE ->
          "the availability zone could not be reached; look for a cut between zones.";
      case NOT_RUN_CANCELLED, OUTCOME_UNKNOWN_CANCELLED -> "nothing; the caller went away.";
      case OUTCOME_UNKNOWN_BACKEND_LOST, BACKEND_FAILED ->
          "it may have run; look at the named server's own log for a crash, and check with the"
              + " caller before it is sent again if it is not idempotent.";
      case OUTCOME_UNKNOWN_DEADLINE ->
          "it may have run; look whether the named server is slow or its connection silent.";
      case OUTCOME_UNKNOWN_PEER_LOST ->
          "it may have run in the other availability zone; explain it there once that can be"
              + " reached.";
      case BACKEND_ANSWER_INVALID ->
          "the named server broke the protocol; check its version and take it out if it repeats.";
      default -> null;
    };
  }
}
