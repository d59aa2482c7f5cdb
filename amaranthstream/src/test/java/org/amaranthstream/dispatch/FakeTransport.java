package org.amaranthstream.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendServer;

/** Transport that records attempts and leaves their events to the test. */
final class FakeTransport implements BackendTransport {
  final List<FakeAttempt> attempts = new ArrayList<>();
  Consumer<FakeAttempt> onStart = attempt -> {};

  @Override
  public FakeAttempt start(
      BackendServer server,
      AttemptId id,
      Work work,
      long offset,
      String prefix,
      AttemptListener listener) {
    FakeAttempt attempt = new FakeAttempt(server, id, work, offset, prefix, listener);
    attempts.add(attempt);
    onStart.accept(attempt);
    return attempt;
  }

  FakeAttempt last() {
    return attempts.get(attempts.size() - 1);
  }

  /** Returns the open attempts on a server in start order. */
  List<FakeAttempt> openOn(String server) {
    return attempts.stream()
        .filter(a -> a.isOpen() && a.server.id().value().equals(server))
        .toList();
  }

  List<FakeAttempt> open() {
    return attempts.stream().filter(FakeAttempt::isOpen).toList();
  }

  /** Returns the text of the token at {@code index}, which is the same on all servers. */
  static String token(long index) {
    return "t" + index + " ";
  }

  /** Returns the text of the first {@code count} tokens. */
  static String text(long count) {
    StringBuilder text = new StringBuilder();
    for (long i = 0; i < count; i++) {
      text.append(token(i));
    }
    return text.toString();
  }

  /** Attempt whose events are triggered by the test. */
  static final class FakeAttempt implements Attempt {
    final BackendServer server;
    final AttemptId id;
    final Work work;
    final long startOffset;
    final String prefix;
    final AttemptListener listener;
    long offset;
    boolean sent;
    boolean ended;
    boolean cancelled;
    private boolean rejected;

    private FakeAttempt(
        BackendServer server,
        AttemptId id,
        Work work,
        long offset,
        String prefix,
        AttemptListener listener) {
      this.server = server;
      this.id = id;
      this.work = work;
      this.startOffset = offset;
      this.offset = offset;
      this.prefix = prefix;
      this.listener = listener;
    }

    boolean isOpen() {
      return !ended && !cancelled;
    }

    /** Returns false if nothing was sent or the server reported that it did not run the request. */
    boolean mayHaveRun() {
      return sent && !rejected;
    }

    void send() {
      sent = true;
      listener.onSending();
    }

    void tokens(int count, long version) {
      tokensFrom(server.id().value() + ".0", count, version);
    }

    void tokensFrom(String incarnation, int count, long version) {
      sent = true;
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < count; i++) {
        text.append(token(offset + i));
      }
      Chunk chunk =
          new Chunk(
              offset,
              count,
              text.toString(),
              Optional.of(WeightVersion.of(version)),
              Optional.of(Incarnation.of(incarnation)));
      offset += count;
      listener.onChunk(chunk);
    }

    void finish() {
      finishAt(offset);
    }

    void finishAt(long tokens) {
      sent = true;
      end(
          new AttemptEnd.Finished(
              new CompletedResponse(
                  server.id(), HttpStatus.of(200), "text/plain", tokens, "stop")));
    }

    void crash() {
      sent = true;
      end(new AttemptEnd.Broken("connection reset"));
    }

    void reject(boolean draining) {
      sent = true;
      rejected = true;
      end(new AttemptEnd.Rejected("busy", draining, Optional.empty()));
    }

    void end(AttemptEnd end) {
      ended = true;
      listener.onEnd(end);
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }
}
