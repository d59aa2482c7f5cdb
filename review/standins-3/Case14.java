import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One machine is removed for good, and the daemons that take its batch jobs over then hold more than
 * their budget. A trainer of a zone with one daemon ends some of its batch jobs there.
 */
public final class Case14 {
  private static final int REPLACED_AFTER_MILLIS = 4_000;
  private static final int JOBS_PER_DAEMON = 64;
  private static final int ENDED_JOBS = 5;
  private static final int DAEMON = 1;
  private static final double ACK_S = 4.0;
  private static final double CANCEL_S = 3.0;

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[0]).toAbsolutePath());
    int code = 2;
    try (Deployment d = new Deployment(Path.of("").toAbsolutePath(), log)) {
      d.queueTtlS = 300;
      d.configure(1);
      d.addReplicas(6, 16, 2);
      d.replicas.forEach(replica -> {
        replica.events = 12;
        replica.gapMs = 400;
      });
      for (int daemon = 0; daemon < 3; daemon++) {
        d.start(daemon);
      }
      if (!d.awaitReady(40)) {
        log.line("the daemons did not become ready");
        System.exit(2);
      }
      Thread.sleep(4_000);
      List<Thread> trainers = new ArrayList<>();
      int[] accepted = new int[3];
      for (int trainer = 0; trainer < 3; trainer++) {
        int daemon = trainer;
        Thread thread = new Thread(() -> submit(d, daemon, accepted));
        thread.start();
        trainers.add(thread);
      }
      for (Thread thread : trainers) {
        thread.join();
      }
      log.line("accepted at each daemon: " + accepted[0] + " " + accepted[1] + " " + accepted[2]);
      Thread.sleep(2_000);
      if (hasTrouble) {
        // A machine is removed for good, and a new one comes 4 s later at another address.
        d.signal(0, "KILL");
        d.remove(0);
        Thread.sleep(REPLACED_AFTER_MILLIS);
        d.start(3);
      }
      Thread.sleep(20_000);
      boolean isAcknowledged = endJobs(d);
      log.line("ends acknowledged=" + isAcknowledged + " daemon " + DAEMON + " is ready=" + d.isReady(DAEMON));
      Thread.sleep(12_000);
      int late = log.runsAfter("7c41d", firstEnd + ACK_S + CANCEL_S);
      int refused = REFUSALS.get();
      log.line("ends refused=" + refused + " acknowledged=" + isAcknowledged
          + " items of these jobs that began to run later than ackMs + cancelMs after the first end=" + late
          + " daemons that ended by themselves=" + d.ends);
      boolean isBroken = !isAcknowledged && late > 0;
      log.line(isBroken ? "UNASKED is broken" : "UNASKED holds");
      boolean isSetUp = accepted[0] + accepted[1] + accepted[2] > 150;
      code = isBroken ? 1 : isSetUp ? 0 : 2;
    } catch (Exception e) {
      code = 2;
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static double firstEnd;
  private static final AtomicInteger REFUSALS = new AtomicInteger();

  /** Ends the first jobs of a daemon there, each again after each refusal, for longer than ackMs. */
  private static boolean endJobs(Deployment d) throws InterruptedException {
    firstEnd = d.log.seconds();
    boolean[] isEnded = new boolean[ENDED_JOBS];
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < ENDED_JOBS; i++) {
      int job = i;
      Thread client = new Thread(() -> isEnded[job] = endJob(d, id(DAEMON, job)));
      client.start();
      clients.add(client);
    }
    boolean all = true;
    for (int i = 0; i < ENDED_JOBS; i++) {
      clients.get(i).join();
      all &= isEnded[i];
    }
    return all;
  }

  private static boolean endJob(Deployment d, String id) {
    while (d.log.seconds() - firstEnd < ACK_S + 2) {
      try {
        Http.Answer answer = d.call(DAEMON, "DELETE", "/v1/lots/" + id, Map.of(), new byte[0], 2_500);
        d.log.line("end job=" + id + " daemon=" + DAEMON + " status=" + answer.status + " " + answer.text());
        if (answer.status == 200) {
          return true;
        }
      } catch (IOException e) {
        d.log.line("end job=" + id + " daemon=" + DAEMON + " got no answer: " + e);
      }
      REFUSALS.incrementAndGet();
    }
    return false;
  }

  /** The first jobs of the daemon are those that are ended. */
  private static String id(int daemon, int i) {
    return (daemon == DAEMON && i < ENDED_JOBS ? "7c41d" : "7c41e") + daemon + "a" + i;
  }

  private static void submit(Deployment d, int daemon, int[] accepted) {
    for (int i = 0; i < JOBS_PER_DAEMON; i++) {
      String id = id(daemon, i);
      boolean isEndedLater = daemon == DAEMON && i < ENDED_JOBS;
      byte[] body = isEndedLater ? Jobs.body(id, 400, 2_500, i) : Jobs.body(id, 40, 25_000, i);
      try {
        int status = d.call(daemon, "POST", "/pufi791/" + id, Jobs.headers(id), body, 12_000).status;
        d.log.line("batch job=" + id + " bytes=" + body.length + " daemon=" + daemon + " status=" + status);
        accepted[daemon] += status == 202 ? 1 : 0;
      } catch (IOException e) {
        d.log.line("batch job=" + id + " daemon=" + daemon + " got no answer: " + e);
      }
    }
  }
}
