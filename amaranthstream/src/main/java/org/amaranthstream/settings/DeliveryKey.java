package org.amaranthstream.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.auth.Secret;

/**
 * A key that authenticates delivery tokens.
 *
 * @param id the name that a token carries
 * @param key the key
 */
public record DeliveryKey(String id, Secret key) {

  /** Creates a key. */
  public DeliveryKey {
    checkNotNull(id, "id");
    checkNotNull(key, "key");
  }
}
