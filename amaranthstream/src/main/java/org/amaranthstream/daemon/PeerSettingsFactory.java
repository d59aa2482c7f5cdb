package org.amaranthstream.daemon;

import java.time.Duration;
import org.amaranthstream.membership.MembershipSettings;
import org.amaranthstream.peer.PeerCredentials;
import org.amaranthstream.peer.PeerLinkSettings;
import org.amaranthstream.settings.PeerSecurity;
import org.amaranthstream.settings.Settings;

/**
 * Static methods that derive the settings of peer links and membership from the daemon's settings.
 */
final class PeerSettingsFactory {
  private static final int MAX_SIZE_FRAMES_PER_LINK = 2;

  private PeerSettingsFactory() {}

  static PeerLinkSettings linkSettings(Settings settings) {
    Duration heartbeatInterval = settings.timing().heartbeatInterval();
    int frameBytes = settings.limits().peerFrameBytes();
    return PeerLinkSettings.builder()
        .host(settings.peer().address().host())
        .port(settings.peer().address().port())
        .credentials(credentials(settings.peer().security()))
        .heartbeatInterval(heartbeatInterval)
        .keepAliveTimeout(settings.timing().suspectTimeout())
        .maxFrameBytes(frameBytes)
        .maxLinkFrames(settings.limits().peerQueueFrames())
        .maxLinkBytes(MAX_SIZE_FRAMES_PER_LINK * frameBytes)
        .build();
  }

  private static PeerCredentials credentials(PeerSecurity security) {
    if (security instanceof PeerSecurity.Tls tls) {
      return new PeerCredentials.MutualTls(
          tls.certificateFile(), tls.privateKeyFile(), tls.trustFile());
    }
    return PeerCredentials.SharedKey.of(((PeerSecurity.SharedKey) security).key().bytes());
  }

  static MembershipSettings membershipSettings(Settings settings) {
    Duration suspectTimeout = settings.timing().suspectTimeout();
    return MembershipSettings.builder()
        .suspectAfter(suspectTimeout)
        .unreachableAfter(suspectTimeout.multipliedBy(2))
        .relaySkew(suspectTimeout)
        .build();
  }
}
