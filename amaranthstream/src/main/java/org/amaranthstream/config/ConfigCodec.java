package org.amaranthstream.config;

import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.yaml.KeyListener;
import org.amaranthstream.yaml.YamlDocument;

/**
 * The operators' configuration as YAML.
 *
 * <p>The generation is no part of the YAML: operators name the one that they replace beside it.
 * Thread safe.
 */
public final class ConfigCodec {
  private ConfigCodec() {}

  /**
   * Reads a configuration. A failure has {@link ResultCode#CONFIG_INVALID} and names file, line,
   * key, what was found and what was expected.
   *
   * @param source the name of the document in error messages
   * @param yaml the document
   * @param generation the generation that the result carries
   */
  public static Result<OperatorConfig> decode(
      String source, String yaml, ConfigGeneration generation) {
    return decode(source, yaml, generation, KeyListener.NONE);
  }

  static Result<OperatorConfig> decode(
      String source, String yaml, ConfigGeneration generation, KeyListener listener) {
    ConfigReader reader = new ConfigReader(generation);
    return YamlDocument.read(source, yaml, ResultCode.CONFIG_INVALID, listener, reader::read);
  }

  /** Returns the YAML of {@code config}, which decodes to an equal configuration. */
  public static String encode(OperatorConfig config) {
    return ConfigWriter.write(config);
  }
}
