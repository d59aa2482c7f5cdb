package org.amaranthstream.config;

import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.yaml.KeyListener;
import org.amaranthstream.yaml.YamlDocument;

/**
 * Conversion between the operators' configuration and its YAML form.
 *
 * <p>The YAML does not contain the generation. Operators send the generation that they replace
 * separately. Thread safe.
 */
public final class ConfigCodec {
  private ConfigCodec() {}

  /**
   * Parses and validates a configuration. A failure has the code {@link ResultCode#CONFIG_INVALID};
   * its message contains the document's name, the line, the key, the value found and the value
   * expected.
   *
   * @param source the name of the document in error messages
   * @param yaml the document
   * @param generation the generation of the returned configuration
   */
  public static Result<OperatorConfig> decode(
      String source, String yaml, ConfigGeneration generation) {
    return decode(source, yaml, generation, KeyListener.NONE);
  }

  /** Parses a configuration and reports each key that is read to {@code listener}. */
  static Result<OperatorConfig> decode(
      String source, String yaml, ConfigGeneration generation, KeyListener listener) {
    ConfigReader reader = new ConfigReader(generation);
    return YamlDocument.read(source, yaml, ResultCode.CONFIG_INVALID, listener, reader::read);
  }

  /** Returns YAML that decodes to a configuration equal to {@code config}. */
  public static String encode(OperatorConfig config) {
    return ConfigWriter.write(config);
  }
}
