package org.amaranthstream.peer;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.amaranthstream.dispatch.Crash;
import org.amaranthstream.dispatch.Fingerprint;
import org.amaranthstream.dispatch.PoisonNotice;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.peer.wire.PoisonContent;
import org.amaranthstream.peer.wire.ServerCrash;

/** Notices of content that was in flight at crashes, to and from the wire. */
final class PoisonCodec {
  private PoisonCodec() {}

  static PoisonContent encode(PoisonNotice notice) {
    PoisonContent.Builder content =
        PoisonContent.newBuilder()
            .setFingerprint(notice.fingerprint().value())
            .setAgeMs(Ages.toMillis(notice.age()));
    notice.crashes().forEach(crash -> content.addCrash(encode(crash)));
    return content.build();
  }

  private static ServerCrash encode(Crash crash) {
    ServerCrash.Builder wire = ServerCrash.newBuilder().setServer(crash.server().value());
    crash.incarnation().ifPresent(incarnation -> wire.setIncarnation(incarnation.value()));
    return wire.build();
  }

  /**
   * Returns the notice of a peer.
   *
   * @throws IllegalArgumentException if a part is out of range
   */
  static PoisonNotice decode(PoisonContent content) {
    return new PoisonNotice(
        new Fingerprint(content.getFingerprint()),
        content.getCrashList().stream()
            .map(PoisonCodec::decode)
            .collect(ImmutableSet.toImmutableSet()),
        Ages.ofMillis(content.getAgeMs()));
  }

  private static Crash decode(ServerCrash crash) {
    Optional<Incarnation> incarnation =
        crash.getIncarnation().isEmpty()
            ? Optional.empty()
            : Optional.of(Incarnation.of(crash.getIncarnation()));
    return new Crash(BackendServerId.of(crash.getServer()), incarnation);
  }
}
