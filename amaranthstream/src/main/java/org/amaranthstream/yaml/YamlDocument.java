package org.amaranthstream.yaml;

import java.util.function.Function;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Strict reader of YAML documents, which stops at the first error and returns it.
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
   * Parses {@code text} and reads it with {@code reader}.
   *
   * @param source the name of the document in error messages
   * @param text the document
   * @param code the code of the result if the document is invalid
   * @param listener receives the path of each key that {@code reader} reads
   * @param reader converts the top-level mapping into a value
   * @return the value, or a failure whose message gives source, line, key, found and expected
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
