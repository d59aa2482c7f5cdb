package org.amaranthstream.decisions;

import com.google.common.base.Enums;
import java.util.Optional;
import org.amaranthstream.result.ResultCode;

/** Advice for operators on requests that ended with a result code. */
final class Advice {
  private Advice() {}

  /** Returns the advice for the result code named {@code name}, empty if there is none. */
  static Optional<String> forCode(String name) {
    ResultCode code = Enums.getIfPresent(ResultCode.class, name).orNull();
    return code == null ? Optional.empty() : Optional.ofNullable(advice(code));
  }

  private static String advice(ResultCode code) {
    return switch (code) {
      case NOT_RUN_OVERLOADED, NOT_RUN_QUEUE_FULL ->
          "the pool has too few slots for the load; the caller may retry after the time given,"
              + " and if this lasts, add backend servers or lower the class's load.";
      case NOT_RUN_DEADLINE ->
          "the deadline is shorter than the pool's current response time; compare the class's"
              + " answer deadline with the latency of the pool.";
      case NOT_RUN_NO_BACKEND ->
          "no server of the pool could run it; check the status for servers that are draining, are"
              + " unreachable or still load the requested weight version.";
      case NOT_RUN_QUARANTINED ->
          "this content crashed two backend servers; find its caller, do not enlarge the pool, and"
              + " let the quarantine expire or change the content.";
      case NOT_RUN_STALE -> "the servers' weights were too old; check the weight rollout.";
      case NOT_RUN_ZONE_UNREACHABLE ->
          "the availability zone was unreachable; check the network between the zones.";
      case NOT_RUN_CANCELLED, OUTCOME_UNKNOWN_CANCELLED ->
          "nothing; the caller cancelled the request or disconnected.";
      case OUTCOME_UNKNOWN_BACKEND_LOST, BACKEND_FAILED ->
          "it may have run; check the named server's own log for a crash, and check with the"
              + " caller before it is sent again if it is not idempotent.";
      case OUTCOME_UNKNOWN_DEADLINE ->
          "it may have run; check whether the named server is slow or its connection silent.";
      case OUTCOME_UNKNOWN_PEER_LOST ->
          "it may have run in the other availability zone; explain it there once that zone is"
              + " reachable.";
      case BACKEND_ANSWER_INVALID ->
          "the named server broke the protocol; check its version and remove it from the pool if"
              + " this repeats.";
      default -> null;
    };
  }
}
