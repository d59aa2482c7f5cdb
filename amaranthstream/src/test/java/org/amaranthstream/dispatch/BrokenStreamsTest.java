package org.amaranthstream.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.amaranthstream.dispatch.FakeTransport.text;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against foreign text in a response whose first server broke off in the middle. */
class BrokenStreamsTest {
  private static final int VERSION = 7;
  private final Fixture fixture = new Fixture();

  @BeforeEach
  void addServers() {
    fixture.directory.add("e1", 4, VERSION);
    fixture.directory.add("e2", 4, VERSION);
  }

  private RecordingWorkListener submitAndBreakOff() {
    final RecordingWorkListener listener = fixture.submit();
    fixture.transport.last().tokens(3, VERSION);
    fixture.transport.last().crash();
    assertThat(fixture.transport.attempts).hasSize(2);
    return listener;
  }

  private static void assertOnlyFirstPartArrived(RecordingWorkListener listener) {
    assertThat(listener.text.toString()).isEqualTo(text(3));
    assertThat(listener.outcome()).isNotInstanceOf(Outcome.Completed.class);
  }

  @Test
  void areNotContinuedWithTheErrorOfTheNextServer() {
    RecordingWorkListener listener = submitAndBreakOff();
    while (!listener.isDone()) {
      fixture.transport.last().send();
      fixture.transport.last().end(new AttemptEnd.Failed("engine answered HTTP 500"));
    }

    assertOnlyFirstPartArrived(listener);
  }

  @Test
  void areNotCompletedByAnEmptyResponseOfTheNextServer() {
    RecordingWorkListener listener = submitAndBreakOff();
    while (!listener.isDone()) {
      fixture.transport.last().finishAt(0);
    }

    assertOnlyFirstPartArrived(listener);
  }

  @Test
  void areNotContinuedWithPartsThatDoNotFollow() {
    RecordingWorkListener listener = submitAndBreakOff();
    Chunk foreign = new Chunk(0, 1, "<html>", Optional.empty(), Optional.empty());
    while (!listener.isDone()) {
      fixture.transport.last().listener.onChunk(foreign);
    }

    assertOnlyFirstPartArrived(listener);
  }
}
