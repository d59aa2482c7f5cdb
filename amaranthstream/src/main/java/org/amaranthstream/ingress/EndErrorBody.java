package org.amaranthstream.ingress;

/** Last line of a streamed answer that failed after its first part. */
record EndErrorBody(boolean end, ErrorBody error) {

  static EndErrorBody of(ErrorBody error) {
    return new EndErrorBody(true, error);
  }
}
