package org.amaranthstream.config;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * Storage of the configuration in a file of the data folder. Each save writes a temporary file,
 * syncs it to disk and renames it atomically. Not thread safe.
 */
public final class FileConfigStorage implements ConfigStorage {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String FILE_NAME = "config.json";

  private final Path file;

  private FileConfigStorage(Path file) {
    this.file = file;
  }

  /** Returns a storage whose file is in {@code folder}. */
  public static FileConfigStorage in(Path folder) {
    return new FileConfigStorage(folder.resolve(FILE_NAME));
  }

  @Override
  public Optional<byte[]> load() {
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    try {
      return Optional.of(Files.readAllBytes(file));
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("event=config_load_failed file=%s", file);
      return Optional.empty();
    }
  }

  @Override
  public void save(byte[] document) {
    Path tempFile = file.resolveSibling(FILE_NAME + ".draft");
    try {
      write(tempFile, document);
      Files.move(
          tempFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("event=config_save_failed file=%s", file);
    }
  }

  private static void write(Path tempFile, byte[] document) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            tempFile,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      ByteBuffer buffer = ByteBuffer.wrap(document);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      channel.force(true);
    }
  }
}
