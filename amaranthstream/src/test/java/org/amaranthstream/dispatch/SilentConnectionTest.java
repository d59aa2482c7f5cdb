package org.amaranthstream.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.amaranthstream.dispatch.FakeTransport.FakeAttempt;
import org.amaranthstream.membership.BackendServer;
import org.junit.jupiter.api.Test;

/** Checks how the dispatcher handles attempts that make no progress on their connection. */
class SilentConnectionTest {
  private final List<Consumer<Boolean>> probes = new ArrayList<>();
  private final Fixture fixture = new Fixture(Dispatcher.builder().connectionProbe(this::onProbe));

  private void onProbe(BackendServer server, Consumer<Boolean> consumer) {
    probes.add(consumer);
  }

  private FakeAttempt silentAttempt(RecordingWorkListener[] listener) {
    listener[0] = fixture.submit();
    FakeAttempt attempt = fixture.transport.last();
    attempt.tokens(3, 7);
    fixture.advanceMillis(2100);
    assertThat(probes).hasSize(1);
    return attempt;
  }

  @Test
  void resumesOnNewConnectionToTheSameServer() {
    fixture.directory.add("e1", 4, 7);
    RecordingWorkListener[] listener = new RecordingWorkListener[1];
    FakeAttempt silent = silentAttempt(listener);
    probes.get(0).accept(true);

    assertThat(silent.cancelled).isTrue();
    FakeAttempt fresh = fixture.transport.last();
    assertThat(fresh.startOffset).isEqualTo(3);
    fresh.tokens(5, 7);
    fresh.finish();
    assertThat(listener[0].text.toString()).isEqualTo(FakeTransport.text(8));
  }

  @Test
  void movesToAnotherServerWhenTheProbeConnectionIsSilentToo() {
    fixture.directory.add("e1", 4, 7);
    fixture.directory.add("e2", 4, 7);
    FakeAttempt silent = silentAttempt(new RecordingWorkListener[1]);
    fixture.advanceMillis(600);

    assertThat(silent.cancelled).isTrue();
    assertThat(fixture.transport.last().server.id()).isNotEqualTo(silent.server.id());
  }

  @Test
  void keepsAnAttemptThatMakesProgressDuringTheProbe() {
    fixture.directory.add("e1", 4, 7);
    FakeAttempt slow = silentAttempt(new RecordingWorkListener[1]);
    slow.tokens(1, 7);
    probes.get(0).accept(true);

    assertThat(slow.cancelled).isFalse();
    assertThat(fixture.transport.attempts).hasSize(1);
  }
}
