package org.amaranthstream.peer;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.peer.wire.PoisonContent;
import org.amaranthstream.peer.wire.ServerCrash;
import org.amaranthstream.quarantine.Crash;
import org.amaranthstream.quarantine.Fingerprint;
import org.amaranthstream.quarantine.PoisonNotice;

/** Codec of notices about content that was in flight when backend servers crashed. */
final class PoisonCodec {
  private PoisonCodec() {}

  static PoisonContent encode(PoisonNotice notice) {
    PoisonContent.Builder content =
        PoisonContent.newBuilder()
            .setFingerprint(notice.fingerprint().value())
            .setAgeMs(WireDurations.toMillis(notice.age()));
    notice.crashes().forEach(crash -> content.addCrash(encode(crash)));
    notice.cleared().forEach(crash -> content.addCleared(encode(crash)));
    return content.build();
  }

  private static ServerCrash encode(Crash crash) {
    ServerCrash.Builder builder = ServerCrash.newBuilder().setServer(crash.server().value());
    crash.incarnation().ifPresent(incarnation -> builder.setIncarnation(incarnation.value()));
    return builder.build();
  }

  /**
   * Decodes a notice of a peer.
   *
   * @throws IllegalArgumentException if a field is invalid
   */
  static PoisonNotice decode(PoisonContent content) {
    return new PoisonNotice(
        new Fingerprint(content.getFingerprint()),
        decode(content.getCrashList()),
        decode(content.getClearedList()),
        WireDurations.fromMillis(content.getAgeMs()));
  }

  private static ImmutableSet<Crash> decode(List<ServerCrash> crashes) {
    return crashes.stream().map(PoisonCodec::decode).collect(ImmutableSet.toImmutableSet());
  }

  private static Crash decode(ServerCrash crash) {
    Optional<Incarnation> incarnation =
        crash.getIncarnation().isEmpty()
            ? Optional.empty()
            : Optional.of(Incarnation.of(crash.getIncarnation()));
    return new Crash(BackendServerId.of(crash.getServer()), incarnation);
  }
}
