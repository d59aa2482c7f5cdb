package org.amaranthstream.dispatch;

/** Handler of the results of attempts. */
interface AttemptResultHandler {

  /** Handles an attempt of {@code request} that ended with a complete response. */
  void onCompleted(ActiveRequest request, CompletedResponse response);

  /** Handles an attempt of {@code request} that ended without a complete response. */
  void onFailed(ActiveRequest request, AttemptFailure failure);
}
