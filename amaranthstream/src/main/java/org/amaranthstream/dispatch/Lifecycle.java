package org.amaranthstream.dispatch;

/** What attempts report about their requests. */
interface Lifecycle {

  /** The whole answer arrived. */
  void onCompleted(ActiveRequest request, Answer answer);

  /** The attempt of {@code request} ended without a whole answer. */
  void onFailed(ActiveRequest request, AttemptFailure failure);
}
