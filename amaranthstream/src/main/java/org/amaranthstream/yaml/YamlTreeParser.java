package org.amaranthstream.yaml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;

/**
 * Parser that builds the node tree of a document from Jackson's tokens.
 *
 * <p>Rejects YAML that the project does not need: aliases, tags, duplicate keys, a second document,
 * more than {@value #MAX_DEPTH} levels and texts over {@value #MAX_LENGTH_CHARS} characters.
 */
final class YamlTreeParser {
  private static final String DOCUMENT_KEY = "(document)";
  private static final int MAX_DEPTH = 16;
  private static final int MAX_LENGTH_CHARS = 1_000_000;
  private static final YAMLFactory FACTORY = new YAMLFactory();

  private final DocumentContext context;

  YamlTreeParser(DocumentContext context) {
    this.context = context;
  }

  /**
   * Parses a document and returns its top-level mapping.
   *
   * @throws DocumentException if the text is not valid YAML or uses rejected features
   */
  MappingNode parse(String text) {
    if (text.length() > MAX_LENGTH_CHARS) {
      throw problem(1, text.length() + " characters", "at most " + MAX_LENGTH_CHARS);
    }
    try (YAMLParser parser = FACTORY.createParser(text)) {
      return parseRoot(parser);
    } catch (JsonProcessingException e) {
      throw syntaxProblem(e);
    } catch (YAMLException e) {
      throw problem(lineOf(e), "text that is not YAML", "a YAML document");
    } catch (IOException e) {
      throw problem(1, "text that cannot be read", "a YAML document");
    }
  }

  private MappingNode parseRoot(YAMLParser parser) throws IOException {
    JsonToken first = parser.nextToken();
    if (first == null) {
      throw problem(1, "nothing", "a mapping");
    }
    YamlNode root = parseNode(parser, first, "", "", 0);
    if (!(root instanceof MappingNode mapping)) {
      throw problem(root.line(), root.describe(), "a mapping");
    }
    if (parser.nextToken() != null) {
      throw problem(lineOf(parser), "a second document", "one document");
    }
    return mapping;
  }

  private YamlNode parseNode(
      YAMLParser parser, JsonToken token, String path, String schemaPath, int depth)
      throws IOException {
    int line = lineOf(parser);
    if (depth > MAX_DEPTH) {
      throw problem(line, "more than " + MAX_DEPTH + " levels", "fewer levels");
    }
    if (parser.isCurrentAlias() || parser.getTypeId() != null) {
      throw problem(line, "an alias or a tag", "plain YAML");
    }
    return switch (token) {
      case START_OBJECT -> parseMapping(parser, line, path, schemaPath, depth);
      case START_ARRAY -> parseSequence(parser, line, path, schemaPath, depth);
      case VALUE_NUMBER_INT -> scalar(parser, line, ScalarNode.Kind.INTEGER);
      case VALUE_NUMBER_FLOAT -> scalar(parser, line, ScalarNode.Kind.DECIMAL);
      case VALUE_TRUE, VALUE_FALSE -> scalar(parser, line, ScalarNode.Kind.BOOLEAN);
      case VALUE_NULL -> scalar(parser, line, ScalarNode.Kind.NULL);
      default -> scalar(parser, line, ScalarNode.Kind.TEXT);
    };
  }

  private MappingNode parseMapping(
      YAMLParser parser, int line, String path, String schemaPath, int depth) throws IOException {
    Map<String, MappingNode.Entry> entries = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      int keyLine = lineOf(parser);
      if (entries.containsKey(key)) {
        throw DocumentException.of(
            context.source(),
            keyLine,
            MappingNode.join(path, key),
            "the key a second time",
            "it once (first on line " + entries.get(key).line() + ")");
      }
      YamlNode value =
          parseNode(
              parser,
              parser.nextToken(),
              MappingNode.join(path, key),
              MappingNode.join(schemaPath, key),
              depth + 1);
      entries.put(key, new MappingNode.Entry(keyLine, value));
    }
    return new MappingNode(context, path, schemaPath, line, entries);
  }

  private SequenceNode parseSequence(
      YAMLParser parser, int line, String path, String schemaPath, int depth) throws IOException {
    ImmutableList.Builder<YamlNode> items = ImmutableList.builder();
    int index = 0;
    for (JsonToken token = parser.nextToken();
        token != JsonToken.END_ARRAY;
        token = parser.nextToken()) {
      String itemPath = path + "[" + index + "]";
      items.add(parseNode(parser, token, itemPath, schemaPath + "[]", depth + 1));
      index++;
    }
    return new SequenceNode(line, items.build());
  }

  private static ScalarNode scalar(YAMLParser parser, int line, ScalarNode.Kind kind)
      throws IOException {
    return new ScalarNode(line, kind, parser.getText());
  }

  private DocumentException syntaxProblem(JsonProcessingException e) {
    if (e.getCause() instanceof MarkedYAMLException marked) {
      return problem(lineOf(marked), "text that is not YAML: " + marked.getProblem(), "YAML");
    }
    int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
    return problem(line, "text that is not YAML", "a YAML document");
  }

  private DocumentException problem(int line, String found, String expected) {
    return DocumentException.of(context.source(), line, DOCUMENT_KEY, found, expected);
  }

  private static int lineOf(YAMLParser parser) {
    return Math.max(1, parser.currentTokenLocation().getLineNr());
  }

  private static int lineOf(YAMLException e) {
    boolean hasMark = e instanceof MarkedYAMLException m && m.getProblemMark() != null;
    return hasMark ? ((MarkedYAMLException) e).getProblemMark().getLine() + 1 : 1;
  }
}
