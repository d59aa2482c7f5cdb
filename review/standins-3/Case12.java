import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** One machine is removed for good, while each daemon holds as many batch jobs as it accepts. */
public final class Case12 {
  private static final int REPLACED_AFTER_MILLIS = 4_000;
  private static final int MAX_JOBS = 160;

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[0]).toAbsolutePath());
    int code = 2;
    try (Deployment d = new Deployment(Path.of("").toAbsolutePath(), log)) {
      d.queueTtlS = 300;
      d.configure(1, 10_000, 12_000);
      d.addReplicas(4, 12, 12);
      d.replicas.forEach(replica -> {
        replica.workMs = 9_000;
        replica.events = 60;
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
      List<String> accepted = submit(d);
      List<KeptClient> clients = new ArrayList<>();
      for (int i = 0; i < 32; i++) {
        clients.add(new KeptClient(d, 1 + i % 2, 10_000));
        Thread.sleep(280);
      }
      Thread.sleep(9_000);
      if (hasTrouble) {
        // A machine is removed for good, and a new one comes 4 s later at another address.
        d.signal(0, "KILL");
        d.remove(0);
        Thread.sleep(REPLACED_AFTER_MILLIS);
        d.start(3);
      }
      for (int i = 0; i < 25; i++) {
        Thread.sleep(1_000);
        // The platform starts a process again that has ended.
        for (int daemon : List.copyOf(d.daemons.keySet())) {
          if (!d.daemons.get(daemon).isAlive()) {
            d.start(daemon);
          }
        }
      }
      int cut = 0;
      int answered = 0;
      for (KeptClient client : clients) {
        client.close();
        cut += client.cut.get();
        answered += client.answered.get();
      }
      boolean isBroken = cut > 3;
      log.line("batch jobs accepted=" + accepted.size() + " lookups answered=" + answered
          + " run and closed without an answer=" + cut + " daemons that ended by themselves=" + d.ends);
      log.line(isBroken ? "LOST is broken" : "LOST holds");
      code = isBroken ? 1 : answered < 8 || accepted.size() < 30 ? 2 : 0;
    } catch (Exception e) {
      code = 2;
      e.printStackTrace();
    }
    System.exit(code);
  }

  /** Submits batch jobs at each daemon until none of them accepts one. */
  private static List<String> submit(Deployment d) throws InterruptedException {
    List<String> accepted = Collections.synchronizedList(new ArrayList<>());
    List<Thread> trainers = new ArrayList<>();
    for (int trainer = 0; trainer < 3; trainer++) {
      int first = trainer;
      Thread thread = new Thread(() -> submit(d, first, accepted));
      thread.start();
      trainers.add(thread);
    }
    for (Thread thread : trainers) {
      thread.join();
    }
    return accepted;
  }

  private static void submit(Deployment d, int trainer, List<String> accepted) {
    for (int i = trainer; i < MAX_JOBS; i += 3) {
      String id = "7c41e" + i;
      byte[] body = Jobs.body(id, 40, 50_000, i);
      int status = 0;
      for (int attempt = 0; attempt < 3 && status != 202; attempt++) {
        int daemon = (trainer + attempt) % 3;
        try {
          status = d.call(daemon, "POST", "/pufi791/" + id, Jobs.headers(id), body, 12_000).status;
        } catch (IOException e) {
          d.log.line("batch job=" + id + " daemon=" + daemon + " got no answer: " + e);
        }
        d.log.line("batch job=" + id + " bytes=" + body.length + " daemon=" + daemon + " status=" + status);
      }
      if (status != 202) {
        return;
      }
      accepted.add(id);
    }
  }
}
