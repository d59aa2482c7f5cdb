package org.amaranthstream.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
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
  private final ImmutableSet<String> singleFields;
  private final Queue<Boolean> waitingForBody = new ArrayDeque<>();
  private @Nullable PartReader part;

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
    waitingForBody.add(!isHead);
  }

  /**
   * Reads bytes that have arrived.
   *
   * @param checked receives, in order, the bytes that are part of a response
   * @return the fault of the bytes, of which none are read then, empty if all are part of responses
   */
  Optional<FramingFault> read(ByteBuf in, Consumer<ByteBuf> checked) {
    try {
      while (in.isReadable()) {
        if (part == null && waitingForBody.isEmpty()) {
          return Optional.of(unsolicited(in));
        }
        readPart(in, checked);
      }
      return Optional.empty();
    } catch (MalformedResponseException e) {
      return Optional.of(malformed(e));
    }
  }

  private static FramingFault unsolicited(ByteBuf in) {
    return FramingFault.of(FramingFault.Kind.UNSOLICITED, "no request waits for a response", in);
  }

  private FramingFault malformed(MalformedResponseException cause) {
    return FramingFault.of(
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
    part = reader instanceof HeadReader head ? partAfter(head) : null;
    if (part == null && !isHeadInterim(reader)) {
      waitingForBody.remove();
    }
  }

  private static boolean isHeadInterim(PartReader reader) {
    return reader instanceof HeadReader head && head.isInterim();
  }

  /** Returns the reader of the body, null if none follows. */
  private @Nullable PartReader partAfter(HeadReader head) {
    if (head.isInterim() || !waitingForBody.element()) {
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
