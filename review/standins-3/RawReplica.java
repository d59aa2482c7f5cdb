import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica of plain requests that writes its bytes itself. A share of its answers has no length and
 * ends with the connection, and the same answer follows once more before that.
 */
final class RawReplica {
  final String id;
  private final String zone;
  private final Store store;
  private final ServerSocket server;
  private final Log log;
  private final long born = System.currentTimeMillis();
  private final Random random;
  private long beats;
  /** The share of answers that are spoiled. */
  volatile double spoiledShare;
  final AtomicInteger spoiled = new AtomicInteger();
  /** The body of the answer to each request, by its ID and the seal of the answer. */
  static final Map<String, String> BODIES = new ConcurrentHashMap<>();

  RawReplica(String host, String id, String zone, Store store, Log log, long seed) throws IOException {
    this.id = id;
    this.zone = zone;
    this.store = store;
    this.log = log;
    this.random = new Random(seed);
    server = new ServerSocket(0, 256, InetAddress.getByName(host));
    daemonThread(this::accept);
    daemonThread(this::register);
  }

  private static void daemonThread(Runnable task) {
    Thread thread = new Thread(task, "raw-replica");
    thread.setDaemon(true);
    thread.start();
  }

  private void register() {
    try {
      while (!server.isClosed()) {
        beats++;
        store.put("servers/" + id, "{\"service\":\"survey-portal\",\"address\":\"" + server.getInetAddress().getHostAddress()
            + ":" + server.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6"
            + ",\"state\":\"ready\",\"coldLeftMs\":0,\"phase\":\"mixed\",\"seq\":" + beats + ",\"born\":" + born + "}");
        Thread.sleep(1_200);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        daemonThread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      while (answer(in, socket.getOutputStream())) {
        continue;
      }
    } catch (IOException e) {
      log.line("connection ended replica=" + id);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns true if the connection is kept. */
  private boolean answer(InputStream in, OutputStream out) throws IOException, InterruptedException {
    String first = line(in);
    if (first == null) {
      return false;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    in.readNBytes(length);
    String path = first.split(" ")[1];
    String request = headers.get("x-amaranthstream-request-id");
    if (path.equals("/healthz") || path.equals("/v1/report") || request == null) {
      out.write(("HTTP/1.1 200 OK\r\nX-Amaranthstream-Replica-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
          .getBytes(StandardCharsets.ISO_8859_1));
      return true;
    }
    log.run(id, request, path, length);
    Thread.sleep(30);
    String body = "{\"served\":\"" + request + "\"}";
    String seal = id + "." + spoiled.get() + "." + request;
    BODIES.put(seal, body);
    String head = "HTTP/1.1 200 OK\r\nX-Amaranthstream-Request-Id: " + request + "\r\nX-Amaranthstream-Response-Seal: " + seal
        + "\r\n";
    boolean isSpoiled;
    synchronized (random) {
      isSpoiled = random.nextDouble() < spoiledShare;
    }
    if (!isSpoiled) {
      out.write((head + "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
      return true;
    }
    spoiled.incrementAndGet();
    log.line("answer without a length and a second one replica=" + id + " request=" + request + " bytes=" + body.length());
    String answer = head + "Connection: close\r\n\r\n" + body;
    out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
    return false;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder out = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (out.length() == 0) {
          return null;
        }
        throw new EOFException();
      }
      if (b != '\r') {
        out.append((char) b);
      }
    }
    return out.toString();
  }
}
