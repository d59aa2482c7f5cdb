package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertThat;

import java.net.URISyntaxException;
import java.nio.file.Path;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerTlsTest {
  private final TestMesh mesh = new TestMesh();

  @AfterEach
  void close() {
    mesh.close();
  }

  private static Path file(String name) {
    try {
      return Path.of(PeerTlsTest.class.getResource("/peer-tls/" + name).toURI());
    } catch (URISyntaxException e) {
      throw new AssertionError(e);
    }
  }

  private static PeerLinkSettings settings(String certificate, String root) {
    return PeerLinkSettings.builder()
        .credentials(
            new PeerCredentials.MutualTls(
                file(certificate + ".pem"), file(certificate + ".key"), file(root + ".pem")))
        .build();
  }

  private void assertRejected(TestNode from, TestNode to) {
    mesh.publishVmList();
    mesh.tick();
    mesh.runUntil(
        "rejection",
        () -> from.linkTo(to).map(link -> link.phase() == LinkPhase.BACKOFF).orElse(false));
    assertThat(to.node.snapshot().inbound()).isEmpty();
  }

  @Test
  void certificatesOfTheSameRootConnect() {
    TestNode a = mesh.start("vm-a", "zone-a", settings("vm-a", "test-root"));
    TestNode b = mesh.start("vm-b", "zone-a", settings("vm-b", "test-root"));
    mesh.connect(a, b);
    mesh.runUntil("link back", () -> b.isLinkedTo(a));
  }

  @Test
  void certificateOfAnotherRootIsRejected() {
    TestNode a = mesh.start("vm-a", "zone-a", settings("vm-a", "test-root"));
    TestNode b = mesh.start("vm-b", "zone-a", settings("vm-b-other-root", "test-root"));
    assertRejected(b, a);
    assertRejected(a, b);
  }

  @Test
  void certificateOfAnotherEntryVmIsRejectedByTheServer() {
    TestNode a = mesh.start("vm-a", "zone-a", settings("vm-a", "test-root"));
    TestNode c = mesh.start("vm-c", "zone-a", settings("vm-b", "test-root"));
    assertRejected(c, a);
  }

  @Test
  void certificateOfAnotherEntryVmIsRejectedByTheClient() {
    TestNode a = mesh.start("vm-a", "zone-a", settings("vm-a", "test-root"));
    TestNode c = mesh.start("vm-c", "zone-a", settings("vm-b", "test-root"));
    assertRejected(a, c);
    assertThat(a.linkTo(c).orElseThrow().lastLoss()).contains("entry VM vm-c did not authenticate");
  }

  @Test
  void clientWithoutTlsIsRejected() {
    TestNode a = mesh.start("vm-a", "zone-a", settings("vm-a", "test-root"));
    TestNode b = mesh.start("vm-b", "zone-a");
    assertRejected(b, a);
  }

  @Test
  void missingFileGivesInvalidSettings() {
    PeerCredentials credentials =
        new PeerCredentials.MutualTls(
            Path.of("no-such-file.pem"), file("vm-a.key"), file("test-root.pem"));
    Result<PeerTls> result = PeerTls.of(credentials);
    assertThat(((Result.Failure<PeerTls>) result).error().code())
        .isEqualTo(ResultCode.INVALID_SETTINGS);
  }
}
