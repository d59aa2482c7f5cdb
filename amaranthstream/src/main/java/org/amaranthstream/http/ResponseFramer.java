package org.amaranthstream.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Divider of the bytes that a server sends on one connection into responses.
 *
 * <p>Guards against the rest of a response that broke off: bytes that arrive while no request
 * waits, or that are not exactly one response to the request that waits, are a fault, after which
 * the connection cannot be used. Not thread safe.
 */
final class ResponseFramer {
  private static final String BEGIN_OF_RESPONSE = "HTTP/1.";

  private final ImmutableSet<String> singleFields;

  /** For each request that waits for its response, whether that may have a body. */
  private final Queue<Boolean> waitingRequests = new ArrayDeque<>();

  private @Nullable PartReader part;
  private int requests;

  /**
   * Creates a framer of a new connection.
   *
   * @param singleFields the names, in lower case, of the fields that a head has once at most
   */
  ResponseFramer(ImmutableSet<String> singleFields) {
    this.singleFields = checkNotNull(singleFields, "singleFields");
  }

  /**
   * Records that a request is written.
   *
   * @param isHead true if the response to the request has no body, whatever its head says
   */
  void onRequest(boolean isHead) {
    requests++;
    waitingRequests.add(!isHead);
  }

  /**
   * Reads bytes that have arrived.
   *
   * @param checked receives, in order, the bytes that are part of a response
   * @return the fault of the bytes, empty if all are part of responses. What was checked before a
   *     malformed part belongs to the same response.
   */
  Optional<FramingFault> read(ByteBuf in, Consumer<ByteBuf> checked) {
    boolean isBodyEnd = false;
    try {
      while (in.isReadable()) {
        if (part == null && waitingRequests.isEmpty()) {
          return Optional.of(faultBehindResponse(in, isBodyEnd));
        }
        isBodyEnd = part instanceof FixedBodyReader;
        readPart(in, checked);
      }
      return Optional.empty();
    } catch (MalformedResponseException e) {
      return Optional.of(malformed(e));
    }
  }

  /**
   * Returns the fault of bytes for which no request waits. If they follow at once on a body with a
   * length and are no begin of another response, that body broke off, and was filled up with the
   * begin of them.
   */
  private FramingFault faultBehindResponse(ByteBuf in, boolean isBodyEnd) {
    return isBodyEnd && !beginsLikeResponse(in) && !isBlank(in)
        ? fault(FramingFault.Kind.MALFORMED, "the response is longer than its body", in)
        : fault(FramingFault.Kind.UNSOLICITED, "no request waits for a response", in);
  }

  private static boolean beginsLikeResponse(ByteBuf in) {
    int length = Math.min(in.readableBytes(), BEGIN_OF_RESPONSE.length());
    return in.toString(in.readerIndex(), length, StandardCharsets.ISO_8859_1)
        .equals(BEGIN_OF_RESPONSE.substring(0, length));
  }

  private static boolean isBlank(ByteBuf in) {
    return in.forEachByte(value -> value == '\r' || value == '\n') < 0;
  }

  private FramingFault fault(FramingFault.Kind kind, String reason, ByteBuf bytes) {
    return FramingFault.of(kind, reason, requests, bytes);
  }

  private FramingFault malformed(MalformedResponseException cause) {
    return fault(
        FramingFault.Kind.MALFORMED, String.valueOf(cause.getMessage()), part().lastLine());
  }

  private PartReader part() {
    if (part == null) {
      part = new HeadReader(singleFields);
    }
    return part;
  }

  private void readPart(ByteBuf in, Consumer<ByteBuf> checked) throws MalformedResponseException {
    PartReader reader = part();
    if (!reader.read(in, checked)) {
      return;
    }
    part = null;
    if (reader instanceof HeadReader head) {
      if (head.isInterim()) {
        return;
      }
      part = bodyAfter(head);
    }
    if (part == null) {
      waitingRequests.remove();
    }
  }

  /** Returns the reader of the body, null if none follows. */
  private @Nullable PartReader bodyAfter(HeadReader head) {
    if (!waitingRequests.element()) {
      return null;
    }
    BodyFraming framing = head.bodyFraming();
    if (framing instanceof BodyFraming.Fixed fixed) {
      return fixed.bytes() == 0 ? null : new FixedBodyReader(fixed.bytes());
    }
    if (framing instanceof BodyFraming.Chunked) {
      return new ChunkedBodyReader();
    }
    return framing instanceof BodyFraming.UntilClose ? FixedBodyReader.endless() : null;
  }
}
