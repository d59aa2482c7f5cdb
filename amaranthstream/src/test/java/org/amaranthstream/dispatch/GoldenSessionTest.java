package org.amaranthstream.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.FakeTransport.FakeAttempt;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.membership.ZoneView;
import org.junit.jupiter.api.Test;

/**
 * Compares the logs of whole sessions with the files in {@code src/test/resources/golden}.
 *
 * <p>After an intended change of decisions, regenerate the files with {@code mvn -pl amaranthstream
 * test -Dtest=GoldenSessionTest -Dgolden.write=true} and review the difference before committing
 * it.
 */
class GoldenSessionTest {
  private static final Path FOLDER = Path.of("src", "test", "resources", "golden");
  private static final boolean WRITE = Boolean.getBoolean("golden.write");

  private final RecordedSession session =
      new RecordedSession(
          DispatchSettings.builder().progressCheckInterval(Duration.ofMillis(100)).build());

  private void assertGolden(String name) throws IOException {
    Path file = FOLDER.resolve(name + ".txt");
    if (WRITE) {
      Files.writeString(file, session.log());
    }
    assertThat(session.log()).isEqualTo(Files.readString(file));
  }

  private void servers(int count, int slots) {
    for (int i = 1; i <= count; i++) {
      session.fixture.directory.add("e" + i, slots, 7);
    }
  }

  private Work.Builder lookup() {
    return session.fixture.work();
  }

  private Work.Builder training() {
    return lookup()
        .workClass(WorkClassId.of("coder"))
        .priority(Priority.TRAINING)
        .deadlineNanos(session.fixture.timers.nowNanos() + Duration.ofSeconds(30).toNanos());
  }

  @Test
  void crashOfOneServer() throws IOException {
    servers(3, 2);
    session.submit(lookup().build());
    session.submit(training().build());
    session.submit(session.fixture.call().idempotent(false).build());
    session.advanceMillis(50);
    session.tokens("e1", 3);
    session.tokens("e2", 3);
    session.tokens("e3", 3);
    session.advanceMillis(50);
    session.crash("e1", "e1.1");
    session.advanceMillis(50);
    session.fixture.transport.attempts.get(0).tokens(1, 7);
    session.tokens("e3", 5);
    session.finish("e3");
    session.advanceMillis(600);
    for (String server : new String[] {"e1", "e2"}) {
      session.tokens(server, 5);
      session.finish(server);
    }
    assertGolden("crash-of-one-server");
  }

  @Test
  void overload() throws IOException {
    servers(1, 2);
    for (int i = 0; i < 2; i++) {
      session.submit(lookup().build());
    }
    session.advanceMillis(2000);
    session.tokens("e1", 8);
    session.finish("e1");
    for (int i = 0; i < 3; i++) {
      session.submit(training().build());
    }
    for (int i = 0; i < 10; i++) {
      long deadline = session.fixture.timers.nowNanos() + Duration.ofSeconds(6).toNanos();
      session.submit(lookup().deadlineNanos(deadline).build());
    }
    for (int i = 0; i < 10; i++) {
      session.advanceMillis(2000);
      session.tokens("e1", 8);
      session.finish("e1");
    }
    assertGolden("overload");
  }

  @Test
  void poisonRequest() throws IOException {
    servers(4, 4);
    Payload poison = new Payload.Generate("poison", 8, 0);
    session.submit(lookup().payload(poison).build());
    for (int i = 0; i < 4; i++) {
      session.submit(lookup().build());
    }
    session.advanceMillis(20);
    for (int crash = 1; crash <= 2; crash++) {
      Optional<FakeAttempt> runs =
          session.fixture.transport.open().stream()
              .filter(attempt -> attempt.work.payload().equals(poison))
              .findFirst();
      String server = runs.orElseThrow().server.id().value();
      session.crash(server, server + "." + crash);
      session.advanceMillis(20);
    }
    session.submit(lookup().payload(poison).build());
    for (int i = 1; i <= 4; i++) {
      session.tokens("e" + i, 8);
      session.finish("e" + i);
    }
    assertGolden("poison-request");
  }

  @Test
  void silentConnection() throws IOException {
    servers(2, 2);
    session.submit(lookup().build());
    session.submit(lookup().build());
    session.advanceMillis(100);
    session.tokens("e1", 3);
    session.tokens("e2", 3);
    session.advanceMillis(1500);
    session.tokens("e2", 3);
    session.advanceMillis(600);
    session.answerProbe(true);
    session.tokens("e2", 2);
    session.finish("e2");
    assertGolden("silent-connection");
  }

  @Test
  void leavingServerAndOtherZones() throws IOException {
    servers(2, 1);
    session.fixture.directory.zones(zone("lisboa-b", "lisboa"), zone("porto-a", "porto"));
    session.submit(lookup().build());
    session.event("e2 rejects as draining");
    session.fixture.directory.leave("e1");
    session.submit(lookup().build());
    session.fixture.transport.openOn("e2").forEach(attempt -> attempt.reject(true));
    session.submit(lookup().build());
    session.submit(lookup().build());
    session.submit(lookup().forwarded(true).build());
    session.tokens("e1", 8);
    session.finish("e1");
    assertGolden("leaving-server");
  }

  private static ZoneView zone(String name, String region) {
    return new ZoneView(
        AvailabilityZoneId.of(name),
        RegionId.of(region),
        1,
        0,
        0,
        2,
        Optional.of(WeightVersion.of(7)),
        0);
  }
}
