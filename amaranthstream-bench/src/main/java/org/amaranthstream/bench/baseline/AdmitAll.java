package org.amaranthstream.bench.baseline;

import java.time.Duration;
import org.amaranthstream.admission.AdmissionDecision;
import org.amaranthstream.admission.AdmissionInput;
import org.amaranthstream.admission.AdmissionPolicy;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Admission policy for comparison that admits every request unless the queue is full. */
public final class AdmitAll implements AdmissionPolicy {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  @Override
  public AdmissionDecision decide(AdmissionInput input) {
    if (input.queued() < input.queueCapacity()) {
      return new AdmissionDecision.Admit(0);
    }
    return new AdmissionDecision.Refuse(
        ErrorDetail.of(ResultCode.NOT_RUN_QUEUE_FULL, "the queue of the pool is full"),
        RETRY_AFTER);
  }

  @Override
  public long minSlackNanos(long serviceNanos) {
    return 0;
  }
}
