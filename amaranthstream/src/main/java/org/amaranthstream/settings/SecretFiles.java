package org.amaranthstream.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.amaranthstream.auth.Secret;
import org.amaranthstream.yaml.MappingNode;

/** Reads secrets and paths that settings name; relative paths start at the settings' folder. */
final class SecretFiles {
  private static final int MAX_FILE_BYTES = 65_536;

  private final Path folder;

  SecretFiles(Path folder) {
    this.folder = folder;
  }

  /** Returns the secret under {@code key} or in the file under {@code fileKey}: one of them. */
  Secret secret(MappingNode node, String key, String fileKey, int minBytes) {
    boolean isInline = node.has(key);
    boolean isFile = node.has(fileKey);
    if (isInline == isFile) {
      String found = isInline ? "both " + key + " and " + fileKey : "neither";
      throw node.problem(isInline ? key : fileKey, found, key + " or " + fileKey);
    }
    String named = isInline ? key : fileKey;
    String text = isInline ? node.secretText(key) : contentOf(node, fileKey);
    return checked(node, named, text, minBytes);
  }

  /** Returns the secret in the file under {@code fileKey}. */
  Secret secretFile(MappingNode node, String fileKey, int minBytes) {
    return checked(node, fileKey, contentOf(node, fileKey), minBytes);
  }

  /** Returns the path of a file that can be read. */
  Path readableFile(MappingNode node, String key) {
    Path path = path(node, key);
    if (!Files.isRegularFile(path) || !Files.isReadable(path)) {
      throw node.problem(key, "no readable file " + path, "a file that can be read");
    }
    return path;
  }

  /** Returns the path of a folder that can be written to. */
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

  private String contentOf(MappingNode node, String key) {
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

  private static Secret checked(MappingNode node, String key, String text, int minBytes) {
    if (text.length() < minBytes) {
      throw node.problem(
          key,
          "a secret of " + text.length() + " characters",
          "at least " + minBytes + " characters");
    }
    return Secret.of(text);
  }
}
