package org.amaranthstream.dispatch.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.AttemptListener;
import org.amaranthstream.dispatch.Chunk;

/** Listener that records the events of one attempt. */
final class RecordingListener implements AttemptListener {
  private final List<String> events = new ArrayList<>();
  private final CountDownLatch ended = new CountDownLatch(1);
  private AttemptEnd end;

  @Override
  public synchronized void onSending() {
    events.add("sending");
  }

  @Override
  public synchronized void onChunk(Chunk chunk) {
    events.add(chunk.offset() + ":" + chunk.text());
  }

  @Override
  public synchronized void onEnd(AttemptEnd end) {
    events.add("end");
    this.end = end;
    ended.countDown();
  }

  AttemptEnd awaitEnd() {
    try {
      if (!ended.await(10, TimeUnit.SECONDS)) {
        throw new AssertionError("attempt did not end within 10 s; events: " + events());
      }
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
    synchronized (this) {
      return end;
    }
  }

  synchronized List<String> events() {
    return List.copyOf(events);
  }
}
