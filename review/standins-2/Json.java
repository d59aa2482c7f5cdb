import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers long or double. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object read(String text) {
    Json json = new Json(text);
    Object value = json.value();
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) read(text);
  }

  private void blank() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }

  private Object value() {
    blank();
    char c = text.charAt(at);
    if (c == '{') {
      at++;
      Map<String, Object> map = new LinkedHashMap<>();
      blank();
      while (text.charAt(at) != '}') {
        String key = (String) value();
        blank();
        at++;
        map.put(key, value());
        blank();
        if (text.charAt(at) == ',') {
          at++;
          blank();
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      at++;
      List<Object> list = new ArrayList<>();
      blank();
      while (text.charAt(at) != ']') {
        list.add(value());
        blank();
        if (text.charAt(at) == ',') {
          at++;
          blank();
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default ->
          word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    };
  }

  private String string() {
    at++;
    int end = text.indexOf('"', at);
    int escape = text.indexOf('\\', at);
    if (escape < 0 || escape > end) {
      String plain = text.substring(at, end);
      at = end + 1;
      return plain;
    }
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char e = text.charAt(at++);
      switch (e) {
        case 'n' -> out.append('\n');
        case 'r' -> out.append('\r');
        case 't' -> out.append('\t');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(e);
      }
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String comma = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(comma);
        comma = ",";
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String comma = "";
      for (Object each : list) {
        out.append(comma);
        comma = ",";
        write(each, out);
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (int i = 0; i < string.length(); i++) {
        char c = string.charAt(i);
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  /** Returns a map of alternating keys and values. */
  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }
}
