import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  private void skip() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      skip();
      while (text.charAt(at) != '}') {
        skip();
        String key = string();
        skip();
        at++;
        map.put(key, value());
        skip();
        if (text.charAt(at) == ',') {
          at++;
          skip();
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      skip();
      while (text.charAt(at) != ']') {
        list.add(value());
        skip();
        if (text.charAt(at) == ',') {
          at++;
          skip();
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    switch (word) {
      case "true":
        return Boolean.TRUE;
      case "false":
        return Boolean.FALSE;
      case "null":
        return null;
      default:
        return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    }
  }

  private String string() {
    at++;
    int end = at;
    while (text.charAt(end) != '"' && text.charAt(end) != '\\') {
      end++;
    }
    if (text.charAt(end) == '"') {
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
        case 'n':
          out.append('\n');
          break;
        case 't':
          out.append('\t');
          break;
        case 'r':
          out.append('\r');
          break;
        case 'b':
          out.append('\b');
          break;
        case 'f':
          out.append('\f');
          break;
        case 'u':
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
          break;
        default:
          out.append(e);
      }
    }
    at++;
    return out.toString();
  }

  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
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
