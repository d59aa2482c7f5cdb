package org.amaranthstream.http;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Reader of the head of a response, which passes it on as a whole if it is the final one. */
final class HeadReader implements PartReader {
  private static final int NO_STATUS = 0;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int MIN_FINAL = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";

  private final ImmutableSet<String> singleFields;
  private final LineReader lines = new LineReader();
  private final Map<String, String> fields = new HashMap<>();
  private int status = NO_STATUS;

  /**
   * Creates a reader.
   *
   * @param singleFields the names, in lower case, of the fields that a head has once at most
   */
  HeadReader(ImmutableSet<String> singleFields) {
    this.singleFields = singleFields;
  }

  @Override
  public boolean read(ByteBuf in, Consumer<ByteBuf> checked) throws MalformedResponseException {
    Optional<String> line = lines.read(in);
    while (line.isPresent()) {
      if (status != NO_STATUS && line.get().isEmpty()) {
        checkLength();
        endHead(checked);
        return true;
      }
      accept(line.get());
      line = lines.read(in);
    }
    return false;
  }

  private void endHead(Consumer<ByteBuf> checked) {
    ByteBuf head = lines.endSection();
    if (!isInterim()) {
      checked.accept(head);
    }
  }

  private void accept(String line) throws MalformedResponseException {
    if (status == NO_STATUS) {
      status = ResponseSyntax.status(line);
      return;
    }
    ResponseSyntax.Field field = ResponseSyntax.field(line);
    String name = Ascii.toLowerCase(field.name());
    if (fields.put(name, field.value()) != null && isSingle(name)) {
      throw new MalformedResponseException("the response has the field " + name + " twice");
    }
  }

  private boolean isSingle(String name) {
    return name.equals(CONTENT_LENGTH)
        || name.equals(TRANSFER_ENCODING)
        || singleFields.contains(name);
  }

  private void checkLength() throws MalformedResponseException {
    String length = fields.get(CONTENT_LENGTH);
    String encoding = fields.get(TRANSFER_ENCODING);
    if (length != null && encoding != null) {
      throw new MalformedResponseException("the response has a length and a transfer encoding");
    }
    if (encoding != null && !Ascii.equalsIgnoreCase(encoding, "chunked")) {
      throw new MalformedResponseException("the response has an unknown transfer encoding");
    }
    if (length != null && (Longs.tryParse(length) == null || Longs.tryParse(length) < 0)) {
      throw new MalformedResponseException("the length of the response is not a number");
    }
    if (status == SWITCHING_PROTOCOLS) {
      throw new MalformedResponseException("the response changes the protocol");
    }
  }

  @Override
  public ByteBuf lastLine() {
    return lines.lastLine();
  }

  /** Returns true if another head follows, which is that of the final response. */
  boolean isInterim() {
    return status < MIN_FINAL;
  }

  /** Returns how the body ends that follows this head. */
  BodyFraming bodyFraming() {
    if (status == NO_CONTENT || status == NOT_MODIFIED) {
      return new BodyFraming.None();
    }
    if (fields.containsKey(TRANSFER_ENCODING)) {
      return new BodyFraming.Chunked();
    }
    String length = fields.get(CONTENT_LENGTH);
    return length == null
        ? new BodyFraming.UntilClose()
        : new BodyFraming.Fixed(Long.parseLong(length));
  }
}
