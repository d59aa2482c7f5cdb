package org.amaranthstream.yaml;

/**
 * A YAML scalar, such as a text, a number or a boolean.
 *
 * @param line the line on which the scalar starts, from 1
 * @param kind the type that the YAML parser resolves it to
 * @param text the text of the scalar as written
 */
record ScalarNode(int line, Kind kind, String text) implements YamlNode {
  private static final int MAX_EXCERPT_CHARS = 60;

  /** Type of a scalar, with a label for error messages. */
  enum Kind {
    TEXT("text"),
    INTEGER("whole number"),
    DECIMAL("decimal number"),
    BOOLEAN("boolean"),
    NULL("nothing");

    private final String label;

    Kind(String label) {
      this.label = label;
    }

    String label() {
      return label;
    }
  }

  @Override
  public String describe() {
    return kind == Kind.NULL ? kind.label() : kind.label() + " " + printableText();
  }

  private String printableText() {
    String printable = text.replaceAll("\\p{Cntrl}", "?");
    boolean fits = printable.length() <= MAX_EXCERPT_CHARS;
    String excerpt = fits ? printable : printable.substring(0, MAX_EXCERPT_CHARS) + "...";
    return kind == Kind.TEXT ? '"' + excerpt + '"' : excerpt;
  }
}
