package org.amaranthstream.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.yaml.KeyListener;
import org.amaranthstream.yaml.YamlDocument;

/**
 * Strict loader of settings from YAML.
 *
 * <p>An unknown key, a wrong type, a value out of range or a duplicate results in a failure with
 * {@link ResultCode#INVALID_SETTINGS}. Its message gives file, line, key, the value found and the
 * value expected.
 */
public final class SettingsLoader {
  private SettingsLoader() {}

  /** Loads the settings from {@code file}. */
  public static Result<Settings> load(Path file) {
    try {
      Path folder = file.toAbsolutePath().getParent();
      return parse(file.toString(), Files.readString(file), folder, KeyListener.NONE);
    } catch (CharacterCodingException e) {
      return unreadable(file, "a file that is not UTF-8 text");
    } catch (NoSuchFileException e) {
      return unreadable(file, "no such file");
    } catch (IOException e) {
      return unreadable(file, "a file that cannot be read");
    }
  }

  /**
   * Parses the settings in {@code yaml}.
   *
   * @param source the name of the document in error messages
   * @param folder the folder that relative paths are resolved against
   */
  public static Result<Settings> parse(String source, String yaml, Path folder) {
    return parse(source, yaml, folder, KeyListener.NONE);
  }

  static Result<Settings> parse(String source, String yaml, Path folder, KeyListener listener) {
    SettingsReader reader = new SettingsReader(new SecretFiles(folder));
    return YamlDocument.read(source, yaml, ResultCode.INVALID_SETTINGS, listener, reader::read);
  }

  private static Result<Settings> unreadable(Path file, String found) {
    String message =
        String.format("%s:1: key (document): found %s, expected a YAML file", file, found);
    return Result.failure(ResultCode.INVALID_SETTINGS, message);
  }
}
