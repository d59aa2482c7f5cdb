package org.amaranthstream.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.auth.Secret;

/**
 * A key that signs and verifies delivery tokens.
 *
 * @param id the key id that a token contains
 * @param key the secret key
 */
public record DeliveryKey(String id, Secret key) {

  /** Creates a delivery key. */
  public DeliveryKey {
    checkNotNull(id, "id");
    checkNotNull(key, "key");
  }
}
