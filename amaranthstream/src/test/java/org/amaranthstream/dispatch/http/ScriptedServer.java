package org.amaranthstream.dispatch.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.membership.BackendServer;

/** TCP server that runs a script, which writes raw bytes, for each request it receives. */
final class ScriptedServer implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  private final NetServer server;

  private ScriptedServer(NetServer server) {
    this.server = server;
  }

  static ScriptedServer start(Vertx vertx, BiConsumer<NetSocket, String> script) {
    NetServer server = vertx.createNetServer();
    server.connectHandler(
        socket -> socket.handler(request -> script.accept(socket, request.toString())));
    await(server.listen(0, HOST));
    return new ScriptedServer(server);
  }

  BackendServer address() {
    return address(server.actualPort());
  }

  static BackendServer address(int port) {
    return new BackendServer(
        BackendServerId.of("engine-1"),
        PoolId.of("coding"),
        RegionId.of("lisboa"),
        AvailabilityZoneId.of("lisboa-a"),
        HOST,
        port);
  }

  static void write(NetSocket socket, String text) {
    socket.write(Buffer.buffer(text));
  }

  @Override
  public void close() {
    await(server.close());
  }

  static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    } catch (Exception e) {
      throw new AssertionError("future did not complete within 10 s", e);
    }
  }
}
