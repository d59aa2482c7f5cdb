package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.amaranthstream.peer.wire.Identity;

/**
 * Bytes of a handshake that both sides authenticate. Every part is preceded by its length, so that
 * different parts never give the same bytes.
 */
final class Transcript {
  private static final String LABEL = "amaranthstream-peer";

  private Transcript() {}

  static byte[] of(
      int protocolVersion,
      Identity client,
      ByteString clientNonce,
      Identity server,
      ByteString serverNonce) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeUTF(LABEL);
      out.writeInt(protocolVersion);
      writeSide(out, client, clientNonce);
      writeSide(out, server, serverNonce);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void writeSide(DataOutputStream out, Identity identity, ByteString nonce)
      throws IOException {
    for (String part :
        List.of(
            identity.getVm(),
            identity.getIncarnation(),
            identity.getRegion(),
            identity.getZone())) {
      out.writeUTF(part);
    }
    out.writeInt(nonce.size());
    nonce.writeTo(out);
  }
}
