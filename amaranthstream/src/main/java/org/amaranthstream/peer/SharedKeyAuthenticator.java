package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Authenticator by HMAC over the transcript, under a key that all entry VMs share. */
final class SharedKeyAuthenticator implements Authenticator {
  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  SharedKeyAuthenticator(PeerCredentials.SharedKey credentials) {
    this.key = new SecretKeySpec(credentials.key(), ALGORITHM);
  }

  @Override
  public ByteString createProof(HandshakeRole role, byte[] transcript) {
    return ByteString.copyFrom(mac(role, transcript));
  }

  @Override
  public boolean verify(
      HandshakeRole role, byte[] transcript, ByteString proof, String vm, Channel channel) {
    return MessageDigest.isEqual(mac(role, transcript), proof.toByteArray());
  }

  private byte[] mac(HandshakeRole role, byte[] transcript) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(role.tag());
      return mac.doFinal(transcript);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime does not support " + ALGORITHM, e);
    }
  }
}
