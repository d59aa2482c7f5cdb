package org.amaranthstream.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.RequestId;

/** Runner that records submitted and cancelled work. The test calls the listeners. */
final class RecordingRunner implements WorkRunner {
  final List<Work> submitted = new ArrayList<>();
  final Map<RequestId, WorkListener> listeners = new HashMap<>();
  final List<RequestId> cancelled = new ArrayList<>();

  @Override
  public void submit(Work work, WorkListener listener) {
    submitted.add(work);
    listeners.put(work.id(), listener);
  }

  @Override
  public void cancel(RequestId id) {
    cancelled.add(id);
  }
}
