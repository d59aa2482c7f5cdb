package org.amaranthstream.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import java.util.function.Consumer;

/** Reader of a body in chunks and of the trailer behind them. */
final class ChunkedBodyReader implements PartReader {
  private final LineReader lines = new LineReader();
  private Step step = Step.SIZE;
  private FixedBodyReader chunk = new FixedBodyReader(0);

  private enum Step {
    SIZE,
    DATA,
    END_OF_DATA,
    TRAILER,
    COMPLETE
  }

  @Override
  public boolean read(ByteBuf in, Consumer<ByteBuf> checked) throws MalformedResponseException {
    boolean hasProgress = true;
    while (hasProgress && step != Step.COMPLETE) {
      hasProgress = step == Step.DATA ? readData(in, checked) : readLine(in, checked);
    }
    return step == Step.COMPLETE;
  }

  private boolean readData(ByteBuf in, Consumer<ByteBuf> checked) {
    if (!chunk.read(in, checked)) {
      return false;
    }
    step = Step.END_OF_DATA;
    return true;
  }

  private boolean readLine(ByteBuf in, Consumer<ByteBuf> checked)
      throws MalformedResponseException {
    Optional<String> line = lines.read(in);
    if (line.isEmpty()) {
      return false;
    }
    Step next = accept(line.get());
    if (next != Step.TRAILER) {
      checked.accept(lines.endSection());
    }
    step = next;
    return true;
  }

  /** Returns the step after a line. */
  private Step accept(String line) throws MalformedResponseException {
    return switch (step) {
      case SIZE -> acceptSize(line);
      case END_OF_DATA -> acceptEndOfData(line);
      case TRAILER -> acceptTrailer(line);
      case DATA, COMPLETE -> throw new AssertionError(step);
    };
  }

  private Step acceptSize(String line) throws MalformedResponseException {
    long size = ResponseSyntax.chunkSize(line);
    chunk = new FixedBodyReader(size);
    return size == 0 ? Step.TRAILER : Step.DATA;
  }

  private static Step acceptEndOfData(String line) throws MalformedResponseException {
    if (!line.isEmpty()) {
      throw new MalformedResponseException("a chunk is longer than its size");
    }
    return Step.SIZE;
  }

  private static Step acceptTrailer(String line) throws MalformedResponseException {
    if (line.isEmpty()) {
      return Step.COMPLETE;
    }
    ResponseSyntax.field(line);
    return Step.TRAILER;
  }

  @Override
  public ByteBuf lastLine() {
    return lines.lastLine();
  }
}
