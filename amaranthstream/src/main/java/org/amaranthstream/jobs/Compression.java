package org.amaranthstream.jobs;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses values of the store, whose bytes cross regions. */
final class Compression {
  private Compression() {}

  static byte[] compress(byte[] value) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(value.length / 2);
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
      out.write(value);
    } catch (IOException e) {
      throw new IllegalStateException("a buffer in memory cannot be written", e);
    } finally {
      deflater.end();
    }
    return bytes.toByteArray();
  }

  static byte[] decompress(byte[] value) throws IOException {
    return ByteStreams.toByteArray(new InflaterInputStream(new ByteArrayInputStream(value)));
  }
}
