package org.amaranthstream.dispatch;

/** What attempts report about their requests. */
interface AttemptResultHandler {

  /** The whole response arrived. */
  void onCompleted(ActiveRequest request, CompletedResponse response);

  /** The attempt of {@code request} ended without a whole response. */
  void onFailed(ActiveRequest request, AttemptFailure failure);
}
