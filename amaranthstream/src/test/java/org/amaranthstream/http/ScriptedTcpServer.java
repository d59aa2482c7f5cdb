package org.amaranthstream.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * TCP server that writes raw bytes by a script on connections that stay open. The request with
 * index n, on whichever connection it arrives, is answered by step n of the script.
 */
public final class ScriptedTcpServer implements AutoCloseable {
  /** Host of the server. */
  public static final String HOST = "127.0.0.1";

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String END_OF_HEAD = "\r\n\r\n";

  /** Mark at the end of a response; it is not sent. */
  private static final String CLOSE = "\u0000";

  private static final Pattern CONTENT_LENGTH =
      Pattern.compile("(?i)\r\ncontent-length: *([0-9]+)\r\n");
  private static final Pattern ATTEMPT = Pattern.compile("(?i)\r\nattempt: *([^\r]+)\r\n");

  private final NetServer server;
  private final List<Step> steps;
  private final List<Integer> connectionsOfRequests = new ArrayList<>();
  private final List<String> requests = new ArrayList<>();
  private final List<Connection> connections = new ArrayList<>();

  /** One step of a script. */
  public interface Step {
    /**
     * Returns the bytes to write for {@code request}.
     *
     * @param lastWritten the bytes that the previous request on the same connection was answered
     *     with, empty for the first request on a connection
     */
    String respond(String request, String lastWritten);
  }

  private ScriptedTcpServer(NetServer server, List<Step> steps) {
    this.server = server;
    this.steps = steps;
  }

  /** Starts a server on a free port. */
  public static ScriptedTcpServer start(Vertx vertx, Step... steps) {
    NetServer server = vertx.createNetServer();
    ScriptedTcpServer scripted = new ScriptedTcpServer(server, List.of(steps));
    server.connectHandler(scripted::onConnected);
    await(server.listen(0, HOST));
    return scripted;
  }

  /** Returns a step that writes {@code response}. */
  public static Step answer(String response) {
    return (request, lastWritten) -> response;
  }

  /** Returns a step that writes {@code response} twice in one segment. */
  public static Step answerTwice(String response) {
    return answer(response + response);
  }

  /** Returns a step that writes a late copy of the previous response before {@code response}. */
  public static Step lateCopyThen(String response) {
    return (request, lastWritten) -> lastWritten + response;
  }

  /** Returns bytes after which the server closes the connection. */
  public static String thenClose(String bytes) {
    return bytes + CLOSE;
  }

  /** Returns a response with the header lines {@code headers}, each of which ends with CR LF. */
  public static String response(String status, String headers, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + END_OF_HEAD
        + body;
  }

  /** Returns the value of the header {@code Attempt} of {@code request}, empty if it has none. */
  public static String attemptOf(String request) {
    Matcher matcher = ATTEMPT.matcher(request);
    return matcher.find() ? matcher.group(1) : "";
  }

  /** Returns the port of the server. */
  public int port() {
    return server.actualPort();
  }

  /** Returns the index of the connection that each request arrived on, in order of arrival. */
  public synchronized List<Integer> connectionsOfRequests() {
    return List.copyOf(connectionsOfRequests);
  }

  /** Returns the requests in order of arrival. */
  public synchronized List<String> requests() {
    return List.copyOf(requests);
  }

  /** Returns once {@code count} requests have arrived. */
  public synchronized void awaitRequests(int count) {
    long endNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (requests.size() < count) {
      long leftNanos = endNanos - System.nanoTime();
      if (leftNanos <= 0) {
        throw new AssertionError(requests.size() + " of " + count + " requests arrived");
      }
      try {
        TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  /** Writes {@code bytes} on an idle connection and returns once the peer has closed it. */
  public void writeUntilClosed(int connection, String bytes) {
    Connection written;
    synchronized (this) {
      written = connections.get(connection);
    }
    written.socket.write(Buffer.buffer(bytes));
    await(written.closed);
  }

  private synchronized void onConnected(NetSocket socket) {
    connections.add(new Connection(connections.size(), socket));
  }

  private synchronized String respond(Connection connection, String request) {
    int index = requests.size();
    requests.add(request);
    connectionsOfRequests.add(connection.index);
    notifyAll();
    return steps.get(index).respond(request, connection.lastWritten);
  }

  @Override
  public void close() {
    await(server.close());
  }

  static <T> T await(Future<T> future) {
    try {
      return future
          .toCompletionStage()
          .toCompletableFuture()
          .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    } catch (Exception e) {
      throw new AssertionError("future did not complete within 10 s", e);
    }
  }

  /** One connection; used on its event loop. */
  private final class Connection {
    private final int index;
    private final NetSocket socket;
    private final Future<Void> closed;
    private String received = "";
    private String lastWritten = "";

    private Connection(int index, NetSocket socket) {
      this.index = index;
      this.socket = socket;
      this.closed = Future.future(done -> socket.closeHandler(unused -> done.complete()));
      socket.exceptionHandler(unused -> {});
      socket.handler(this::onData);
    }

    private void onData(Buffer data) {
      received += data.toString();
      int end = endOfRequest(received);
      if (end <= 0) {
        return;
      }
      String request = received.substring(0, end);
      received = received.substring(end);
      String response = respond(this, request);
      lastWritten = response.replace(CLOSE, "");
      if (!lastWritten.isEmpty()) {
        socket.write(Buffer.buffer(lastWritten));
      }
      if (response.endsWith(CLOSE)) {
        socket.end();
      }
    }

    /** Returns the length of the first request of {@code text}, 0 if it is incomplete. */
    private static int endOfRequest(String text) {
      int head = text.indexOf(END_OF_HEAD);
      if (head < 0) {
        return 0;
      }
      int endOfHead = head + END_OF_HEAD.length();
      Matcher length = CONTENT_LENGTH.matcher(text.substring(0, endOfHead));
      int end = endOfHead + (length.find() ? Integer.parseInt(length.group(1)) : 0);
      return text.length() >= end ? end : 0;
    }
  }
}
