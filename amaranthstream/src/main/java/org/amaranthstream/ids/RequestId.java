package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifier of a request. It contains the entry VM and the incarnation that issued it, so that any
 * daemon can locate the records of the request's decisions.
 *
 * <p>The text form is {@code vm/incarnation/sequence}. Immutable and thread safe.
 *
 * @param vm the entry VM that accepted the request
 * @param incarnation the incarnation of that entry VM
 * @param sequence the number of the request within the incarnation, from 0
 */
public record RequestId(EntryVmId vm, Incarnation incarnation, long sequence) {
  private static final char SEPARATOR = '/';

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code sequence} is negative
   */
  public RequestId {
    checkNotNull(vm, "vm");
    checkNotNull(incarnation, "incarnation");
    checkArgument(sequence >= 0, "sequence is negative: %s", sequence);
  }

  /** Returns the id of request {@code sequence} of an incarnation. */
  public static RequestId of(EntryVmId vm, Incarnation incarnation, long sequence) {
    return new RequestId(vm, incarnation, sequence);
  }

  /**
   * Returns the id whose text form is {@code text}.
   *
   * @throws IllegalArgumentException if {@code text} is not {@code vm/incarnation/sequence}
   */
  public static RequestId parse(String text) {
    int first = text.indexOf(SEPARATOR);
    int last = text.lastIndexOf(SEPARATOR);
    checkArgument(
        first > 0 && last > first,
        "request id is not of the form vm/incarnation/sequence: %s",
        text);
    EntryVmId vm = EntryVmId.of(text.substring(0, first));
    Incarnation incarnation = Incarnation.of(text.substring(first + 1, last));
    return of(vm, incarnation, parseSequence(text.substring(last + 1)));
  }

  private static long parseSequence(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("request sequence number is not an integer: " + text, e);
    }
  }

  @Override
  public String toString() {
    return vm.value() + SEPARATOR + incarnation.value() + SEPARATOR + sequence;
  }
}
