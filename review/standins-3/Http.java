import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client of one request on one connection. */
final class Http {
  private Http() {}

  static final class Answer {
    int status;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static Answer call(String host, int port, String method, String path, Map<String, String> headers, byte[] body,
      int timeoutMs) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, port), 1_000);
      socket.setSoTimeout(timeoutMs);
      write(socket.getOutputStream(), method, path, headers, body);
      return read(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static void write(OutputStream out, String method, String path, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0 || method.equals("POST")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  static Answer read(InputStream in) throws IOException {
    Answer answer = new Answer();
    String status = line(in);
    answer.status = Integer.parseInt(status.split(" ")[1]);
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      answer.headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    String length = answer.headers.get("content-length");
    if (length != null) {
      copy(in, body, Integer.parseInt(length));
    } else if ("chunked".equals(answer.headers.get("transfer-encoding"))) {
      for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
        copy(in, body, size);
        line(in);
      }
    } else if ("close".equals(answer.headers.get("connection"))) {
      body.write(in.readAllBytes());
    }
    answer.body = body.toByteArray();
    return answer;
  }

  private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
    byte[] part = in.readNBytes(length);
    if (part.length < length) {
      throw new EOFException("the answer is cut");
    }
    out.write(part);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the connection was closed");
      }
      if (b != '\r') {
        out.write(b);
      }
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }
}
