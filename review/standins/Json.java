import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer for the stand-ins. */
final class Json {
  private final String text;
  private int pos;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  private void space() {
    while (pos < text.length() && Character.isWhitespace(text.charAt(pos))) {
      pos++;
    }
  }

  private Object value() {
    space();
    char c = text.charAt(pos);
    if (c == '{') {
      return map();
    }
    if (c == '[') {
      return list();
    }
    if (c == '"') {
      return string();
    }
    int from = pos;
    while (pos < text.length() && ",]} \t\r\n".indexOf(text.charAt(pos)) < 0) {
      pos++;
    }
    String word = text.substring(from, pos);
    switch (word) {
      case "true":
        return true;
      case "false":
        return false;
      case "null":
        return null;
      default:
        return word.contains(".") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
    }
  }

  private Map<String, Object> map() {
    Map<String, Object> map = new LinkedHashMap<>();
    pos++;
    space();
    while (text.charAt(pos) != '}') {
      space();
      String key = string();
      space();
      pos++;
      map.put(key, value());
      space();
      if (text.charAt(pos) == ',') {
        pos++;
        space();
      }
    }
    pos++;
    return map;
  }

  private List<Object> list() {
    List<Object> list = new ArrayList<>();
    pos++;
    space();
    while (text.charAt(pos) != ']') {
      list.add(value());
      space();
      if (text.charAt(pos) == ',') {
        pos++;
        space();
      }
    }
    pos++;
    return list;
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    pos++;
    while (text.charAt(pos) != '"') {
      char c = text.charAt(pos++);
      if (c == '\\') {
        char e = text.charAt(pos++);
        switch (e) {
          case 'n':
            out.append('\n');
            break;
          case 'r':
            out.append('\r');
            break;
          case 't':
            out.append('\t');
            break;
          case 'u':
            out.append((char) Integer.parseInt(text.substring(pos, pos + 4), 16));
            pos += 4;
            break;
          default:
            out.append(e);
        }
      } else {
        out.append(c);
      }
    }
    pos++;
    return out.toString();
  }

  static String quote(String s) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : s.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }
}
