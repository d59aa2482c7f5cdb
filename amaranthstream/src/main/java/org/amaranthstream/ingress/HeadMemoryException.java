package org.amaranthstream.ingress;

import io.netty.handler.codec.DecoderException;

/** Thrown for a request for whose head there is no memory. The request has not run. */
public final class HeadMemoryException extends DecoderException {
  private static final long serialVersionUID = 1;

  HeadMemoryException() {
    super("there is no memory for the head");
  }
}
