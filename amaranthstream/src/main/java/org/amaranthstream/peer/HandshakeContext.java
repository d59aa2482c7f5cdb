package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import java.security.SecureRandom;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Identity;
import org.amaranthstream.placement.Locality;

/** Parts of a handshake that both sides use: local identity, settings, counters. Thread safe. */
final class HandshakeContext {
  static final int PROTOCOL_VERSION = 1;
  private static final int NONCE_BYTES = 32;

  private final SecureRandom random = new SecureRandom();
  private final LocalVm self;
  private final Authenticator authenticator;
  private final PeerLinkSettings settings;
  private final OutboundBudget budget;
  private final LinkByteCounters counters;

  HandshakeContext(
      LocalVm self,
      Authenticator authenticator,
      PeerLinkSettings settings,
      OutboundBudget budget,
      LinkByteCounters counters) {
    this.self = self;
    this.authenticator = authenticator;
    this.settings = settings;
    this.budget = budget;
    this.counters = counters;
  }

  Authenticator authenticator() {
    return authenticator;
  }

  PeerLinkSettings settings() {
    return settings;
  }

  LinkByteCounters counters() {
    return counters;
  }

  ByteString newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return ByteString.copyFrom(nonce);
  }

  static boolean isNonce(ByteString nonce) {
    return nonce.size() == NONCE_BYTES;
  }

  Identity identity() {
    return Identity.newBuilder()
        .setVm(self.id().value())
        .setIncarnation(self.incarnation().value())
        .setRegion(self.region().value())
        .setZone(self.zone().value())
        .build();
  }

  /**
   * Returns the entry VM that {@code identity} describes.
   *
   * @throws IllegalArgumentException if a part of it is not a valid id
   */
  static LocalVm parseIdentity(Identity identity) {
    return new LocalVm(
        EntryVmId.of(identity.getVm()),
        Incarnation.of(identity.getIncarnation()),
        RegionId.of(identity.getRegion()),
        AvailabilityZoneId.of(identity.getZone()));
  }

  Locality localityOf(LocalVm peer) {
    if (peer.zone().equals(self.zone())) {
      return Locality.SAME_ZONE;
    }
    return peer.region().equals(self.region()) ? Locality.SAME_REGION : Locality.OTHER_REGION;
  }

  FrameChannel newChannel(Channel channel, LocalVm peer) {
    return new FrameChannel(channel, settings, budget, counters, localityOf(peer));
  }
}
