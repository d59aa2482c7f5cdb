package org.amaranthstream.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Reads the files that the command line names. */
final class TextFiles {
  private TextFiles() {}

  static Result<String> read(Path file) {
    try {
      return Result.success(Files.readString(file));
    } catch (IOException e) {
      return Result.failure(
          ResultCode.CONFIG_INVALID,
          file + ":1: key (document): found no file that can be read, expected UTF-8 text");
    }
  }
}
