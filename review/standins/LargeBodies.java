import java.io.BufferedInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Callers send bodies that are shorter than maxBodyBytes, first one after the other and then two at
 * a time. The check: no replica runs a request with another body than its caller sent.
 *
 * <p>Without the disruption, the bodies have the length that is usual at the site.
 */
final class LargeBodies {
  /** Lengths of the bodies of each round; maxBodyBytes is 33,554,432. */
  private static final int[] LENGTHS = {30_000_000, 32_000_000, 30_000_000, 28_000_000};

  /** The number of rounds in which the callers wait for each other. */
  private static final int SEQUENTIAL_ROUNDS = 2;

  private static final int USUAL_LENGTH = 600;

  private static final int CALLERS = 2;
  private static final int ANSWER_TIMEOUT_MS = 20_000;

  private final Deployment deployment = new Deployment(1);
  private final Deployment.Daemon daemon = deployment.daemons.get(0);
  private final Map<String, byte[]> sent = new HashMap<>();
  private final Replica replica;

  private LargeBodies() throws Exception {
    deployment.store.put("op/config", Deployment.config(3, Deployment.PLAIN_ROUTE));
    replica = new Replica(deployment.store, "i-p1", "127.0.0.1", "portal", "zone-a", 6);
  }

  public static void main(String[] args) throws Exception {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Record.open(Path.of(args[0]));
    int code = 2;
    try {
      code = new LargeBodies().run(isTroubled) ? 0 : 1;
    } catch (Exception e) {
      Record.log("the case could not run: " + e);
    }
    Record.log("exit " + code);
    System.exit(code);
  }

  private boolean run(boolean isTroubled) throws Exception {
    deployment.start();
    Thread.sleep(2000);
    long endMs = Record.now() + 75_000;
    for (int round = 0; round < LENGTHS.length && Record.now() < endMs; round++) {
      Thread[] callers = new Thread[CALLERS];
      for (int caller = 0; caller < CALLERS; caller++) {
        String id = String.format("%016x", 4096 + 16 * round + caller);
        byte[] body = new byte[isTroubled ? LENGTHS[round] : USUAL_LENGTH];
        new Random(round * 10 + caller).nextBytes(body);
        sent.put(id, body);
        callers[caller] = Http.daemon(() -> send(id, body));
        if (round < SEQUENTIAL_ROUNDS) {
          callers[caller].join();
        }
      }
      for (Thread caller : callers) {
        caller.join();
      }
      Thread.sleep(1000);
      if (changedRuns() > 0) {
        break;
      }
    }
    for (Replica.Run run : replica.runs()) {
      byte[] body = sent.get(run.id);
      boolean isSame = Arrays.equals(run.request.body, body);
      Record.log(
          "run "
              + run
              + " with a body of "
              + run.request.body.length
              + " bytes; sent were "
              + body.length
              + (isSame ? "" : " CHANGED"));
    }
    deployment.recordLog(daemon, "OutOfMemory");
    return changedRuns() == 0;
  }

  private long changedRuns() {
    return replica.runs().stream()
        .filter(run -> !Arrays.equals(run.request.body, sent.get(run.id)))
        .count();
  }

  private void send(String id, byte[] body) {
    Record.log("send request " + id + " with " + body.length + " bytes");
    String answer;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(daemon.host, deployment.front), 1000);
      socket.setSoTimeout(ANSWER_TIMEOUT_MS);
      Http.write(
          socket,
          "POST /plain/upload",
          "Host: "
              + Deployment.ROUTE_HOST
              + "\r\nX-Amaranthstream-Request-Id: "
              + id
              + "\r\nX-Amaranthstream-Deadline-Ms: 10000\r\n",
          body);
      Http.Message reply = Http.read(new BufferedInputStream(socket.getInputStream()));
      answer = reply == null ? "closed" : "status " + reply.status();
    } catch (java.io.IOException e) {
      answer = "none: " + e;
    }
    Record.log("answer to request " + id + ": " + answer);
  }
}
