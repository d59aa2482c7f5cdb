package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.handler.ssl.SslHandler;
import java.security.cert.Certificate;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.net.ssl.SSLPeerUnverifiedException;

/**
 * Authenticator by mutual TLS. The TLS handshake verifies the certificate of the remote side; this
 * class checks that the certificate names the entry VM. The proofs are empty.
 */
final class TlsAuthenticator implements Authenticator {
  private static final int DNS_NAME_TYPE = 2;

  @Override
  public ByteString createProof(HandshakeRole role, byte[] transcript) {
    return ByteString.EMPTY;
  }

  @Override
  public boolean verify(
      HandshakeRole role, byte[] transcript, ByteString proof, String vm, Channel channel) {
    SslHandler ssl = channel.pipeline().get(SslHandler.class);
    if (ssl == null) {
      return false;
    }
    try {
      Certificate[] chain = ssl.engine().getSession().getPeerCertificates();
      return chain.length > 0 && chain[0] instanceof X509Certificate leaf && namesVm(leaf, vm);
    } catch (SSLPeerUnverifiedException | CertificateParsingException | InvalidNameException e) {
      return false;
    }
  }

  private static boolean namesVm(X509Certificate certificate, String vm)
      throws CertificateParsingException, InvalidNameException {
    LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
    boolean commonName =
        subject.getRdns().stream()
            .anyMatch(rdn -> rdn.getType().equalsIgnoreCase("CN") && vm.equals(rdn.getValue()));
    return commonName || hasDnsName(certificate.getSubjectAlternativeNames(), vm);
  }

  private static boolean hasDnsName(Collection<List<?>> names, String vm) {
    return names != null
        && names.stream()
            .anyMatch(
                name ->
                    Integer.valueOf(DNS_NAME_TYPE).equals(name.get(0)) && vm.equals(name.get(1)));
  }
}
