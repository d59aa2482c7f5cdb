package org.amaranthstream.jobs;

import com.google.common.io.ByteStreams;
import com.google.protobuf.MessageLite;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compression of stored values, which saves traffic between regions. */
final class Compression {
  private Compression() {}

  /** Writer of the uncompressed bytes. */
  private interface Content {
    void writeTo(OutputStream out) throws IOException;
  }

  static byte[] compress(byte[] value) {
    return compress(value.length, out -> out.write(value));
  }

  /** Compresses a message without a copy of its uncompressed form. */
  static byte[] compress(MessageLite message) {
    return compress(message.getSerializedSize(), message::writeTo);
  }

  private static byte[] compress(int size, Content content) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(size / 2);
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
      content.writeTo(out);
    } catch (IOException e) {
      throw new IllegalStateException("cannot compress into an in-memory buffer", e);
    } finally {
      deflater.end();
    }
    return bytes.toByteArray();
  }

  static byte[] decompress(byte[] value) throws IOException {
    return ByteStreams.toByteArray(open(value));
  }

  /** Returns a stream of the decompressed bytes. */
  static InputStream open(byte[] value) {
    return new InflaterInputStream(new ByteArrayInputStream(value));
  }
}
