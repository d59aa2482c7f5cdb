package org.amaranthstream.ingress;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A server of a test, and callers that stay connected to it. Used by one thread. */
final class AcceptingServer implements AutoCloseable {
  /** Without the detection of HTTP/2, which would wait for the first bytes of a connection. */
  static final HttpServerOptions OPTIONS = new HttpServerOptions().setHttp2ClearTextEnabled(false);

  private static final int TIMEOUT_MILLIS = 10_000;

  private final Vertx vertx;
  private final HttpServer server;
  private final List<Socket> callers = new ArrayList<>();

  private AcceptingServer(Vertx vertx, HttpServer server) {
    this.vertx = vertx;
    this.server = server;
  }

  static AcceptingServer start(
      Vertx vertx, Handler<HttpConnection> onConnected, Handler<HttpServerRequest> onRequest) {
    HttpServer server =
        vertx.createHttpServer(OPTIONS).connectionHandler(onConnected).requestHandler(onRequest);
    server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    return new AcceptingServer(vertx, server);
  }

  Socket connect() throws IOException {
    Socket caller = new Socket("127.0.0.1", server.actualPort());
    caller.setSoTimeout(TIMEOUT_MILLIS);
    callers.add(caller);
    return caller;
  }

  /** Waits for the server's end of the connection. */
  static boolean isClosedByServer(Socket caller) throws IOException {
    return caller.getInputStream().read() < 0;
  }

  /** Sends a request and returns whether it is answered with 200. */
  static boolean isServed(Socket caller) throws IOException {
    caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
    byte[] start = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
    boolean isServed = new String(start).equals("HTTP/1.1 200");
    caller.getInputStream().skip(caller.getInputStream().available());
    return isServed;
  }

  @Override
  public void close() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
