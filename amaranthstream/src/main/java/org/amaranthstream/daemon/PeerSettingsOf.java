package org.amaranthstream.daemon;

import java.time.Duration;
import org.amaranthstream.membership.MembershipSettings;
import org.amaranthstream.peer.PeerCredentials;
import org.amaranthstream.peer.PeerLinkSettings;
import org.amaranthstream.settings.PeerSecurity;
import org.amaranthstream.settings.Settings;

/** The settings of peer links and membership that follow from the process's settings. */
final class PeerSettingsOf {
  private static final int FRAMES_PER_LINK_BUDGET = 2;

  private PeerSettingsOf() {}

  static PeerLinkSettings links(Settings settings) {
    Duration heartbeat = settings.timing().heartbeatInterval();
    int frameBytes = settings.limits().peerFrameBytes();
    return PeerLinkSettings.builder()
        .host(settings.peer().address().host())
        .port(settings.peer().address().port())
        .credentials(credentials(settings.peer().security()))
        .heartbeatInterval(heartbeat)
        .keepAliveTimeout(settings.timing().suspectTimeout())
        .maxFrameBytes(frameBytes)
        .maxLinkFrames(settings.limits().peerQueueFrames())
        .maxLinkBytes(FRAMES_PER_LINK_BUDGET * frameBytes)
        .build();
  }

  private static PeerCredentials credentials(PeerSecurity security) {
    if (security instanceof PeerSecurity.Tls tls) {
      return new PeerCredentials.MutualTls(
          tls.certificateFile(), tls.privateKeyFile(), tls.trustFile());
    }
    return PeerCredentials.SharedKey.of(((PeerSecurity.SharedKey) security).key().bytes());
  }

  static MembershipSettings membership(Settings settings) {
    Duration suspect = settings.timing().suspectTimeout();
    return MembershipSettings.builder()
        .suspectAfter(suspect)
        .unreachableAfter(suspect.multipliedBy(2))
        .relaySkew(suspect)
        .build();
  }
}
