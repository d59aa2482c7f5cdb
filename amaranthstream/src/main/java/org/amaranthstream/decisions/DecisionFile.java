package org.amaranthstream.decisions;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Rotating file of decision records as JSON lines: {@code decisions.jsonl}, and the previous file,
 * {@code decisions.1.jsonl}.
 *
 * <p>The two files together take at most twice the given size. A record that cannot be written is
 * counted, and no exception is thrown. Not thread safe.
 */
public final class DecisionFile implements DecisionSink, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String CURRENT_NAME = "decisions.jsonl";
  private static final String OLDER_NAME = "decisions.1.jsonl";

  private final Path current;
  private final Path older;
  private final long maxBytes;
  private @Nullable OutputStream out;
  private long size;
  private long failures;

  private DecisionFile(Path folder, long maxBytes) {
    this.current = folder.resolve(CURRENT_NAME);
    this.older = folder.resolve(OLDER_NAME);
    this.maxBytes = maxBytes;
  }

  /**
   * Returns a decision file in {@code folder}; the file is opened with the first record.
   *
   * @param maxBytes maximum size of one file, in bytes
   */
  public static DecisionFile in(Path folder, long maxBytes) {
    checkArgument(maxBytes > 0, "size is not positive: %s", maxBytes);
    return new DecisionFile(folder, maxBytes);
  }

  @Override
  public void accept(DecisionRecord decision) {
    try {
      write(line(decision));
    } catch (IOException e) {
      failures++;
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
          "event=decision_not_written file=%s failures=%d", current, failures);
      closeQuietly();
    }
  }

  /** Returns the number of records that could not be written. */
  public long failureCount() {
    return failures;
  }

  private static byte[] line(DecisionRecord decision) throws JsonProcessingException {
    return (MAPPER.writeValueAsString(DecisionLine.of(decision)) + "\n")
        .getBytes(StandardCharsets.UTF_8);
  }

  private void write(byte[] line) throws IOException {
    if (out == null) {
      open();
    }
    if (size > 0 && size + line.length > maxBytes) {
      rotate();
    }
    out.write(line);
    out.flush();
    size += line.length;
  }

  private void open() throws IOException {
    size = Files.exists(current) ? Files.size(current) : 0;
    out = Files.newOutputStream(current, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  private void rotate() throws IOException {
    close();
    Files.move(current, older, StandardCopyOption.REPLACE_EXISTING);
    open();
  }

  @Override
  public void close() throws IOException {
    OutputStream open = out;
    out = null;
    if (open != null) {
      open.close();
    }
  }

  private void closeQuietly() {
    try {
      close();
    } catch (IOException e) {
      logger.atFine().withCause(e).log("event=decision_file_not_closed file=%s", current);
    }
  }
}
