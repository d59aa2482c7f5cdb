package org.amaranthstream.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.amaranthstream.auth.Secret;
import org.amaranthstream.yaml.MappingNode;

/**
 * Reader of the secrets and paths in a settings file.
 *
 * <p>Resolves relative paths against the folder of the settings file.
 */
final class SecretFiles {
  private static final int MAX_FILE_BYTES = 65_536;

  private final Path folder;

  SecretFiles(Path folder) {
    this.folder = folder;
  }

  /**
   * Returns the secret under {@code key} or in the file that {@code fileKey} names.
   *
   * <p>Exactly one of the two keys must be present.
   */
  Secret secret(MappingNode node, String key, String fileKey, int minChars) {
    boolean isInline = node.has(key);
    boolean isFile = node.has(fileKey);
    if (isInline == isFile) {
      String found = isInline ? "both " + key + " and " + fileKey : "neither";
      throw node.problem(isInline ? key : fileKey, found, key + " or " + fileKey);
    }
    String usedKey = isInline ? key : fileKey;
    String text = isInline ? node.secretText(key) : readText(node, fileKey);
    return checkLength(node, usedKey, text, minChars);
  }

  /** Returns the secret in the file that {@code fileKey} names. */
  Secret secretFile(MappingNode node, String fileKey, int minChars) {
    return checkLength(node, fileKey, readText(node, fileKey), minChars);
  }

  /** Returns the path under {@code key}, which must be a readable regular file. */
  Path readableFile(MappingNode node, String key) {
    Path path = path(node, key);
    if (!Files.isRegularFile(path) || !Files.isReadable(path)) {
      throw node.problem(key, "no readable file " + path, "a file that can be read");
    }
    return path;
  }

  /** Returns the path under {@code key}, which must be a writable folder. */
  Path writableFolder(MappingNode node, String key) {
    Path path = path(node, key);
    if (!Files.isDirectory(path) || !Files.isWritable(path)) {
      throw node.problem(key, "no writable folder " + path, "a folder that can be written to");
    }
    return path;
  }

  private Path path(MappingNode node, String key) {
    String text = node.text(key);
    try {
      return folder.resolve(text);
    } catch (InvalidPathException e) {
      throw node.problem(key, "the path of a file");
    }
  }

  private String readText(MappingNode node, String key) {
    Path path = readableFile(node, key);
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw node.problem(
            key, "a file of " + Files.size(path) + " bytes", "at most " + MAX_FILE_BYTES);
      }
      return Files.readString(path).strip();
    } catch (IOException e) {
      throw node.problem(key, "a file that is not UTF-8 text: " + path, "UTF-8 text");
    }
  }

  private static Secret checkLength(MappingNode node, String key, String text, int minChars) {
    if (text.length() < minChars) {
      throw node.problem(
          key,
          "a secret of " + text.length() + " characters",
          "at least " + minChars + " characters");
    }
    return Secret.of(text);
  }
}
