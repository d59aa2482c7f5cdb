package org.amaranthstream.yaml;

/**
 * A YAML scalar.
 *
 * @param line the line on which it starts
 * @param kind the type that YAML gives it
 * @param text its text as written
 */
record ScalarNode(int line, Kind kind, String text) implements YamlNode {
  private static final int MAX_SHOWN_CHARS = 60;

  /** The types of scalars, with their names for error messages. */
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
    return kind == Kind.NULL ? kind.label() : kind.label() + " " + shown();
  }

  private String shown() {
    String printable = text.replaceAll("\\p{Cntrl}", "?");
    boolean isShort = printable.length() <= MAX_SHOWN_CHARS;
    String head = isShort ? printable : printable.substring(0, MAX_SHOWN_CHARS) + "...";
    return kind == Kind.TEXT ? '"' + head + '"' : head;
  }
}
