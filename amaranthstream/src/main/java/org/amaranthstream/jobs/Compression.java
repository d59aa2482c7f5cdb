package org.amaranthstream.jobs;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compression of stored values, which saves traffic between regions. */
final class Compression {
  private Compression() {}

  static byte[] compress(byte[] value) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(value.length / 2);
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
      out.write(value);
    } catch (IOException e) {
      throw new IllegalStateException("cannot compress into an in-memory buffer", e);
    } finally {
      deflater.end();
    }
    return bytes.toByteArray();
  }

  static byte[] decompress(byte[] value) throws IOException {
    return ByteStreams.toByteArray(new InflaterInputStream(new ByteArrayInputStream(value)));
  }
}
