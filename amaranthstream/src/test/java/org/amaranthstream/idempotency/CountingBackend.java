package org.amaranthstream.idempotency;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * A fake backend server that counts the runs of each request path. It keeps its counts when an
 * entry VM restarts.
 */
final class CountingBackend implements WorkRunner {
  private final Multiset<String> runs = HashMultiset.create();
  private final Map<RequestId, WorkListener> running = new LinkedHashMap<>();
  private boolean refusing;

  @Override
  public void submit(Work work, WorkListener listener) {
    if (refusing) {
      ErrorDetail error =
          ErrorDetail.of(ResultCode.NOT_RUN_OVERLOADED, "backend server is overloaded");
      listener.onOutcome(new Outcome.NotRun(error, Optional.empty()));
      return;
    }
    runs.add(((Payload.Call) work.payload()).path());
    running.put(work.id(), listener);
  }

  @Override
  public void cancel(RequestId id) {}

  void setRefusing(boolean refusing) {
    this.refusing = refusing;
  }

  void finishAll() {
    Map<RequestId, WorkListener> finished = new LinkedHashMap<>(running);
    running.clear();
    CompletedResponse response =
        new CompletedResponse(
            BackendServerId.of("shop-1"), HttpStatus.of(200), "text/plain", 0, "done");
    finished.values().forEach(l -> l.onOutcome(new Outcome.Completed(response)));
  }

  int runsOf(String path) {
    return runs.count(path);
  }
}
