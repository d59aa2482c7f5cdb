package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkArgument;

import java.nio.file.Path;

/** How entry VMs prove to each other who they are. */
public sealed interface PeerCredentials {
  /**
   * A key that all entry VMs share. It proves membership at the start of a connection and does not
   * encrypt; use it only where the network between entry VMs is trusted.
   */
  final class SharedKey implements PeerCredentials {
    private static final int MIN_KEY_BYTES = 32;

    private final byte[] key;

    private SharedKey(byte[] key) {
      this.key = key;
    }

    /**
     * Returns credentials with a copy of {@code key}.
     *
     * @throws IllegalArgumentException if the key is shorter than 32 bytes
     */
    public static SharedKey of(byte[] key) {
      checkArgument(
          key.length >= MIN_KEY_BYTES,
          "shared key has %s bytes, at least %s are needed",
          key.length,
          MIN_KEY_BYTES);
      return new SharedKey(key.clone());
    }

    byte[] key() {
      return key.clone();
    }

    @Override
    public String toString() {
      return "SharedKey";
    }
  }

  /**
   * Mutual TLS with PEM files. The certificate of an entry VM names it in its subject's common name
   * or in a DNS name of its subject alternative names.
   *
   * @param certificateChain the own certificate and those that lead to the root
   * @param privateKey the own private key, PKCS 8 without a password
   * @param trustedCertificates the roots that sign the certificates of entry VMs
   */
  record MutualTls(Path certificateChain, Path privateKey, Path trustedCertificates)
      implements PeerCredentials {}
}
