package org.amaranthstream.settings;

import java.nio.file.Path;
import org.amaranthstream.auth.Secret;

/** How entry VMs know each other on the peer link. */
public sealed interface PeerSecurity {

  /**
   * All entry VMs hold the same key.
   *
   * @param key the key
   */
  record SharedKey(Secret key) implements PeerSecurity {}

  /**
   * Mutual TLS.
   *
   * @param certificateFile this VM's certificate chain, PEM
   * @param privateKeyFile its private key, PEM
   * @param trustFile the certificates that peers are checked against, PEM
   */
  record Tls(Path certificateFile, Path privateKeyFile, Path trustFile) implements PeerSecurity {}
}
