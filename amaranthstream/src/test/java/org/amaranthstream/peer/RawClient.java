package org.amaranthstream.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import org.amaranthstream.peer.wire.Frame;

/** A blocking client that speaks, or does not speak, the protocol of peer links. */
final class RawClient implements AutoCloseable {
  private static final int TIMEOUT_MS = 20_000;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;

  RawClient(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(TIMEOUT_MS);
    in = new DataInputStream(socket.getInputStream());
    out = new DataOutputStream(socket.getOutputStream());
  }

  void send(Frame frame) throws IOException {
    byte[] body = frame.toByteArray();
    out.writeInt(body.length);
    out.write(body);
    out.flush();
  }

  void sendBytes(byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
  }

  void sendLength(int length) throws IOException {
    out.writeInt(length);
    out.flush();
  }

  void endOutput() throws IOException {
    socket.shutdownOutput();
  }

  Frame read() throws IOException {
    byte[] body = new byte[in.readInt()];
    in.readFully(body);
    return Frame.parseFrom(body);
  }

  /** Returns true once the other side has closed the connection, false if it sent something. */
  boolean isClosedByOtherSide() throws IOException {
    try {
      return in.read() < 0;
    } catch (EOFException | SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
