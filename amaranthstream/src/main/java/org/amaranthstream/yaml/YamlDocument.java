package org.amaranthstream.yaml;

import java.util.function.Function;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Reads a YAML document strictly: the first error ends the reading and is the whole answer.
 *
 * <pre>{@code
 * Result<Integer> port =
 *     YamlDocument.read("a.yaml", text, ResultCode.INVALID_SETTINGS, KeyListener.NONE, root -> {
 *       int value = root.integer("port", 1, 65_535);
 *       root.finish();
 *       return value;
 *     });
 * }</pre>
 */
public final class YamlDocument {
  private YamlDocument() {}

  /**
   * Reads {@code text} with {@code reader}.
   *
   * @param source the name of the document in error messages
   * @param text the document
   * @param code the code of a failure
   * @param listener is told of each key that {@code reader} asks for
   * @param reader turns the top level mapping into a value
   */
  public static <T> Result<T> read(
      String source,
      String text,
      ResultCode code,
      KeyListener listener,
      Function<MappingNode, T> reader) {
    try {
      MappingNode root = new YamlTreeParser(new DocumentContext(source, listener)).parse(text);
      return Result.success(reader.apply(root));
    } catch (DocumentException e) {
      return Result.failure(code, e.getMessage());
    }
  }
}
