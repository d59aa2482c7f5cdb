package org.amaranthstream.calls;

import org.amaranthstream.ids.WorkspaceId;

/** Recorder of the requests that backend servers begin. */
@FunctionalInterface
public interface UsageRecorder {
  /** Recorder that records nothing. */
  UsageRecorder NONE = (workspace, atNanos) -> {};

  /**
   * Records that a backend server began to run a request.
   *
   * @param atNanos when it began, in monotonic nanoseconds
   */
  void onRequestBegan(WorkspaceId workspace, long atNanos);
}
