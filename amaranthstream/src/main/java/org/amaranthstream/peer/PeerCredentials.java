package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkArgument;

import java.nio.file.Path;

/** Credentials by which entry VMs authenticate each other. */
public sealed interface PeerCredentials {
  /**
   * Key that all entry VMs share. It authenticates both sides at the start of a connection and does
   * not encrypt; use it only if the network between the entry VMs is trusted.
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
          "shared key has %s bytes, expected at least %s",
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
   * Mutual TLS with PEM files. The certificate of an entry VM has the VM's id as the common name of
   * its subject or as a DNS name among its subject alternative names.
   *
   * @param certificateChain file with the local certificate and its intermediate certificates
   * @param privateKey file with the local private key, PKCS 8 without a password
   * @param trustedCertificates file with the root certificates that sign those of entry VMs
   */
  record MutualTls(Path certificateChain, Path privateKey, Path trustedCertificates)
      implements PeerCredentials {}
}
