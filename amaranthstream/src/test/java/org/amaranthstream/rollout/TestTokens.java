package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;

/** Delivery token keys and codecs for tests. */
final class TestTokens {
  private TestTokens() {}

  static TokenKey key(String id) {
    return TokenKey.of(
        id, ("secret of sixteen bytes or more " + id).getBytes(StandardCharsets.UTF_8));
  }

  static DeliveryTokenCodec codec(String... ids) {
    ImmutableList.Builder<TokenKey> keys = ImmutableList.builder();
    for (String id : ids) {
      keys.add(key(id));
    }
    return DeliveryTokenCodec.of(keys.build());
  }
}
