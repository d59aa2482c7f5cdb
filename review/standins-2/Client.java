import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A client that sends one request on a new connection. */
final class Client {
  /** An answer; status 0 stands for a connection that ended without a complete answer. */
  record Answer(int status, Map<String, String> headers, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Client() {}

  static Answer send(
      String address,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      int timeoutMs) {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1000);
      socket.setSoTimeout(timeoutMs);
      socket.setTcpNoDelay(true);
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      if (body.length > 0 || method.equals("POST")) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      head.append("\r\n");
      byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
      byte[] all = new byte[headBytes.length + body.length];
      System.arraycopy(headBytes, 0, all, 0, headBytes.length);
      System.arraycopy(body, 0, all, headBytes.length, body.length);
      socket.getOutputStream().write(all);
      socket.getOutputStream().flush();
      return read(socket.getInputStream());
    } catch (IOException | RuntimeException e) {
      return new Answer(0, Map.of("error", e.toString()), new byte[0]);
    }
  }

  private static Answer read(InputStream in) throws IOException {
    String[] status = line(in).split(" ", 3);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      for (int size = Integer.parseInt(line(in), 16);
          size > 0;
          size = Integer.parseInt(line(in), 16)) {
        exactly(in, size, body);
        line(in);
      }
      line(in);
    } else {
      exactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")), body);
    }
    return new Answer(Integer.parseInt(status[1]), headers, body.toByteArray());
  }

  private static void exactly(InputStream in, int size, ByteArrayOutputStream out)
      throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new IOException("the answer is cut off");
    }
    out.writeBytes(bytes);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the connection ended");
      }
      if (c != '\r') {
        line.write(c);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
