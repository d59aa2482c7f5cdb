package org.amaranthstream.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Reader of the files that are given on the command line. */
final class TextFiles {
  private TextFiles() {}

  /** Reads a file in UTF-8; fails with {@link ResultCode#CONFIG_INVALID}. */
  static Result<String> read(Path file) {
    try {
      return Result.success(Files.readString(file));
    } catch (IOException e) {
      return Result.failure(
          ResultCode.CONFIG_INVALID,
          file + ":1: key (document): found no readable file, expected UTF-8 text");
    }
  }
}
