package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Registrations that are read together, as at the start of a daemon. */
class ServerBatchTest {
  private static final Logger LOGGER = Logger.getLogger("org.amaranthstream.servers");

  private final ServerDirectory directory = ServerDirectory.create(VirtualTimerService.create());
  private final List<String> lines = new ArrayList<>();
  private final Handler recorder =
      new Handler() {
        @Override
        public void publish(LogRecord entry) {
          if (entry.getLevel().intValue() >= Level.INFO.intValue()) {
            lines.add(entry.getMessage());
          }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };
  private static final Revision REVISION = Revision.of(7);
  private int notifications;

  @BeforeEach
  void listen() {
    directory.addListener(() -> notifications++);
    LOGGER.setLevel(Level.INFO);
    LOGGER.addHandler(recorder);
  }

  @AfterEach
  void stopRecording() {
    LOGGER.removeHandler(recorder);
    LOGGER.setLevel(null);
  }

  private void register(int count) {
    directory.startBatch(REVISION);
    for (int i = 0; i < count; i++) {
      directory.onRegistration(
          new ServerRegistration(
              BackendServerId.of("server-" + i),
              1L,
              ServiceId.of("service"),
              SoftwareVersion.of("1"),
              "10.0.0.1",
              8000 + i,
              AvailabilityZoneId.of("a"),
              4,
              false,
              ImmutableMap.of()));
    }
    directory.endBatch();
  }

  @Test
  void ofManyServersIsOneNotificationAndOneLine() {
    register(300);

    assertThat(notifications).isEqualTo(1);
    assertThat(lines).containsExactly("event=servers_changed known=300 gone=0 total=300");
    assertThat(directory.all()).hasSize(300);
  }

  @Test
  void ofFewServersNamesEach() {
    register(2);

    assertThat(notifications).isEqualTo(1);
    assertThat(lines).hasSize(2);
    assertThat(lines.get(1)).contains("event=server_known server=server-1 ");
  }

  /** The times at which several daemons apply one revision tell how late each of them is. */
  @Test
  void ofServersThatLeaveNamesTheRevision() {
    register(2);
    lines.clear();
    directory.startBatch(REVISION);
    directory.onRegistrationRemoved(BackendServerId.of("server-0"));
    directory.endBatch();

    assertThat(lines).containsExactly("event=server_gone server=server-0 revision=7");
  }

  @Test
  void ofRemovalsIsOneNotification() {
    register(300);
    notifications = 0;
    lines.clear();
    directory.startBatch(REVISION);
    for (int i = 0; i < 300; i++) {
      directory.onRegistrationRemoved(BackendServerId.of("server-" + i));
    }
    directory.endBatch();

    assertThat(notifications).isEqualTo(1);
    assertThat(lines).containsExactly("event=servers_changed known=0 gone=300 total=0");
  }

  @Test
  void withoutChangesNotifiesNobody() {
    directory.startBatch(REVISION);
    directory.endBatch();

    assertThat(notifications).isEqualTo(0);
    assertThat(lines).isEmpty();
  }
}
