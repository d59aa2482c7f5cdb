package org.amaranthstream.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Test;

class DeadlineAdmissionTest {
  private static final long MILLI = 1_000_000;

  private final DeadlineAdmission policy = DeadlineAdmission.create();

  private static AdmissionInput input(int slots, int running, int ahead, long slackMillis) {
    return new AdmissionInput(
        Priority.INTERACTIVE,
        slackMillis * MILLI,
        slots,
        running,
        ahead,
        10,
        ahead,
        500 * MILLI,
        400 * MILLI);
  }

  private static ResultCode rejectionCode(AdmissionDecision decision) {
    return ((AdmissionDecision.Refuse) decision).error().code();
  }

  @Test
  void admitsWhileSlotsAreFree() {
    assertThat(policy.decide(input(4, 3, 0, 500)))
        .isEqualTo(new AdmissionDecision.Admit(500 * MILLI));
  }

  @Test
  void addsTheWaitForSlotToTheEstimate() {
    assertThat(policy.decide(input(4, 4, 3, 900)))
        .isEqualTo(new AdmissionDecision.Admit(900 * MILLI));
  }

  @Test
  void rejectsIfWaitAndServiceExceedTheDeadline() {
    AdmissionDecision decision = policy.decide(input(4, 4, 3, 700));

    assertThat(rejectionCode(decision)).isEqualTo(ResultCode.NOT_RUN_OVERLOADED);
    assertThat(((AdmissionDecision.Refuse) decision).retryAfter())
        .isEqualTo(Duration.ofMillis(200));
  }

  @Test
  void rejectsIfServiceAloneExceedsTheDeadline() {
    assertThat(rejectionCode(policy.decide(input(4, 0, 0, 499))))
        .isEqualTo(ResultCode.NOT_RUN_DEADLINE);
  }

  @Test
  void rejectsWhenTheQueueIsFull() {
    assertThat(rejectionCode(policy.decide(input(4, 4, 10, 60_000))))
        .isEqualTo(ResultCode.NOT_RUN_QUEUE_FULL);
  }

  @Test
  void rejectsWithoutSlots() {
    assertThat(rejectionCode(policy.decide(input(0, 0, 0, 60_000))))
        .isEqualTo(ResultCode.NOT_RUN_NO_BACKEND);
  }
}
