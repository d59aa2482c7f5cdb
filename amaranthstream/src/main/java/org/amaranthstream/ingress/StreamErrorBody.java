package org.amaranthstream.ingress;

/** Last line of a streamed response that failed after its first chunk. */
record StreamErrorBody(boolean end, ErrorBody error) {

  static StreamErrorBody of(ErrorBody error) {
    return new StreamErrorBody(true, error);
  }
}
