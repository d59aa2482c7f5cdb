package org.amaranthstream.settings;

import java.nio.file.Path;
import org.amaranthstream.auth.Secret;

/** Method by which entry VMs authenticate each other on peer links. */
public sealed interface PeerSecurity {

  /**
   * Authentication with a key that all entry VMs share.
   *
   * @param key the shared key
   */
  record SharedKey(Secret key) implements PeerSecurity {}

  /**
   * Authentication with mutual TLS.
   *
   * @param certificateFile this VM's certificate chain, PEM
   * @param privateKeyFile the private key of this VM, PEM
   * @param trustFile the certificates that the certificates of peers are verified against, PEM
   */
  record Tls(Path certificateFile, Path privateKeyFile, Path trustFile) implements PeerSecurity {}
}
