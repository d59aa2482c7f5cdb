package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RelayPolicyTest {
  @Test
  void callsGoDirectlyWhileServersAreReached() {
    assertThat(RelayPolicy.shouldRelay(0, false, 0, 0, true)).isFalse();
    assertThat(RelayPolicy.shouldRelay(0, false, 1, 0, true)).isFalse();
  }

  @Test
  void callsAreRelayedAtOnceIfTheServiceIsLost() {
    assertThat(RelayPolicy.shouldRelay(0, true, 0, 0, true)).isTrue();
  }

  @Test
  void callsAreRelayedIfTwoConnectionsHang() {
    assertThat(RelayPolicy.shouldRelay(0, false, 2, 0, true)).isTrue();
  }

  @Test
  void callsAreRelayedIfNoServerIsLeftThatCanBeConnectedTo() {
    assertThat(RelayPolicy.shouldRelay(0, false, 0, 3, false)).isTrue();
  }

  /** A peer would meet the same full servers. */
  @Test
  void callsThatAllServersRejectAreNotRelayed() {
    assertThat(RelayPolicy.shouldRelay(0, false, 0, 0, false)).isFalse();
  }

  @Test
  void callsAreNotRelayedWithoutEnd() {
    assertThat(RelayPolicy.shouldRelay(2, true, 0, 3, false)).isFalse();
  }
}
