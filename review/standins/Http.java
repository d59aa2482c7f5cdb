import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** HTTP/1.1 over plain sockets: a server for the stand-ins and a client for the callers. */
final class Http {
  private Http() {}

  /** A request or a response; header names are in lower case. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    String param(String name) {
      String[] parts = target().split("\\?", 2);
      if (parts.length == 2) {
        for (String pair : parts[1].split("&")) {
          String[] kv = pair.split("=", 2);
          if (kv[0].equals(name)) {
            return java.net.URLDecoder.decode(kv.length == 2 ? kv[1] : "", StandardCharsets.UTF_8);
          }
        }
      }
      return "";
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A connection of a server: one thread reads requests, another answers them in turn. */
  static final class Connection {
    final Socket socket;
    final OutputStream out;
    volatile boolean isClosed;
    private final BlockingQueue<Message> requests = new LinkedBlockingQueue<>();
    private static final Message END = new Message();

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    void close() {
      isClosed = true;
      try {
        socket.close();
      } catch (IOException e) {
        // The connection is closed in any case.
      }
    }

    void send(int status, String extra, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(
          ("HTTP/1.1 " + status + " X\r\n" + extra + "Content-Length: " + body.length + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      all.writeBytes(body);
      synchronized (out) {
        out.write(all.toByteArray());
        out.flush();
      }
    }

    void raw(String text) throws IOException {
      synchronized (out) {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
    }
  }

  interface Handler {
    void handle(Connection connection, Message request) throws Exception;
  }

  /** Starts a server and returns its socket; port 0 selects a free port. */
  static ServerSocket serve(String host, int port, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket(port, 512, InetAddress.getByName(host));
    daemon(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket);
            daemon(() -> readAll(connection));
            daemon(() -> answerAll(connection, handler));
          }
        });
    return server;
  }

  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // A connection or server has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void readAll(Connection connection) {
    try {
      InputStream in = new BufferedInputStream(connection.socket.getInputStream());
      while (true) {
        Message request = read(in);
        if (request == null) {
          break;
        }
        connection.requests.add(request);
      }
    } catch (IOException | RuntimeException e) {
      // The peer has reset the connection.
    }
    connection.isClosed = true;
    connection.requests.add(Connection.END);
  }

  private static void answerAll(Connection connection, Handler handler) {
    try {
      while (true) {
        Message request = connection.requests.take();
        if (request == Connection.END) {
          break;
        }
        handler.handle(connection, request);
      }
    } catch (Exception e) {
      // The peer has closed the connection.
    }
    connection.close();
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new IOException("ended in a line");
      }
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
  }

  /** Reads a message with a length or in chunks; null at the end of the connection. */
  static Message read(InputStream in) throws IOException {
    Message message = new Message();
    String first = line(in);
    if (first == null) {
      return null;
    }
    message.first = first;
    String next = line(in);
    while (next != null && !next.isEmpty()) {
      int colon = next.indexOf(':');
      message.headers.put(
          next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
      next = line(in);
    }
    if (next == null) {
      throw new IOException("ended in the head");
    }
    String length = message.headers.get("content-length");
    if (length != null) {
      message.body = exactly(in, Integer.parseInt(length));
    } else if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(line(in).trim(), 16);
        byte[] chunk = exactly(in, size);
        line(in);
        if (size == 0) {
          break;
        }
        body.writeBytes(chunk);
      }
      message.body = body.toByteArray();
    }
    return message;
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new IOException("ended in the body");
    }
    return bytes;
  }

  /** Sends one request on a new connection and returns the response; null if there was none. */
  static Message call(
      String host, int port, String head, String headers, byte[] body, int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, port), 1000);
      socket.setSoTimeout(timeoutMs);
      write(socket, head, headers, body);
      return read(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException | RuntimeException e) {
      return null;
    }
  }

  static void write(Socket socket, String head, String headers, byte[] body) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(
        (head + " HTTP/1.1\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    socket.getOutputStream().write(all.toByteArray());
    socket.getOutputStream().flush();
  }
}
