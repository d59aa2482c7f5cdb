import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client that sends one lookup after another on a connection that it keeps, and opens a new one
 * after a failure. It counts the requests that a replica began to run and whose connection ended
 * without a byte of an answer.
 */
final class KeptClient implements AutoCloseable {
  private static final AtomicInteger IDS = new AtomicInteger();
  private final Deployment deployment;
  private final int daemon;
  private final int deadlineMs;
  private final Thread thread;
  private volatile boolean isStopped;
  final AtomicInteger answered = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  /** Requests on a kept connection that had run and got no answer. */
  final AtomicInteger cut = new AtomicInteger();

  KeptClient(Deployment deployment, int daemon) {
    this(deployment, daemon, 2_500);
  }

  KeptClient(Deployment deployment, int daemon, int deadlineMs) {
    this.deadlineMs = deadlineMs;
    this.deployment = deployment;
    this.daemon = daemon;
    this.thread = new Thread(this::loop, "client");
    thread.setDaemon(true);
    thread.start();
  }

  private void loop() {
    while (!isStopped) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(deployment.host(daemon), deployment.frontPort), 1_000);
        socket.setSoTimeout(deadlineMs + 1_500);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        boolean isKept = false;
        while (!isStopped) {
          if (!exchange(socket, in, isKept)) {
            break;
          }
          isKept = true;
        }
      } catch (IOException e) {
        pause(100);
      }
    }
  }

  /** Returns true if the connection can be used again. */
  private boolean exchange(Socket socket, BufferedInputStream in, boolean isKept) throws IOException {
    String id = "q" + IDS.incrementAndGet();
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Deployment.HOST);
    headers.put("X-Amaranthstream-Request-Id", id);
    headers.put("X-Amaranthstream-Deadline-Ms", Integer.toString(deadlineMs));
    Http.write(socket.getOutputStream(), "POST", "/lohu930/" + id, headers, new byte[600]);
    deployment.log.line("sent request=" + id + " daemon=" + daemon + " kept=" + isKept);
    try {
      Http.Answer answer = Http.read(in);
      deployment.log.line("answered request=" + id + " daemon=" + daemon + " status=" + answer.status);
      (answer.status == 200 ? answered : refused).incrementAndGet();
      return !"close".equals(answer.headers.get("connection"));
    } catch (IOException e) {
      boolean hasRun = deployment.log.runs.containsKey(id);
      deployment.log.line("closed without an answer request=" + id + " daemon=" + daemon + " kept=" + isKept
          + " had_run=" + hasRun + " cause=" + e);
      if (isKept && hasRun && !isStopped) {
        cut.incrementAndGet();
      }
      pause(200);
      return false;
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws InterruptedException {
    isStopped = true;
    thread.join(500);
  }
}
