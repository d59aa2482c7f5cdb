package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkElementIndex;

import java.util.Arrays;
import java.util.Optional;
import org.amaranthstream.platform.Transaction;

/**
 * The parts into which the record of a job is split, so that each fits an entry of the store and
 * all of them fit the transaction that creates the job.
 *
 * <p>Immutable, as long as nobody modifies the record. Thread safe.
 */
final class RecordParts {
  private static final int PART_BYTES = 700_000;

  /** The transaction also expects and writes the ownership record. */
  private static final int MAX_PARTS = Transaction.MAX_ENTRIES - 2;

  private final byte[] record;

  private RecordParts(byte[] record) {
    this.record = record;
  }

  /** Returns the parts of an encoded record, empty if they do not fit one transaction. */
  static Optional<RecordParts> of(byte[] record) {
    RecordParts parts = new RecordParts(record);
    return parts.count() > MAX_PARTS ? Optional.empty() : Optional.of(parts);
  }

  /** Returns the number of parts, at least one. */
  int count() {
    return Math.max(1, (record.length + PART_BYTES - 1) / PART_BYTES);
  }

  /** Returns the bytes of a part. */
  byte[] get(int part) {
    int from = checkElementIndex(part, count()) * PART_BYTES;
    return Arrays.copyOfRange(record, from, Math.min(record.length, from + PART_BYTES));
  }
}
