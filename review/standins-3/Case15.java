import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Some replicas answer a few requests without a length, and twice. */
public final class Case15 {
  private static volatile boolean isStopped;

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[0]).toAbsolutePath());
    int code = 2;
    try (Deployment d = new Deployment(Path.of("").toAbsolutePath(), log)) {
      d.configure(1);
      d.addReplicas(1, 12, 0);
      List<RawReplica> replicas = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        replicas.add(new RawReplica(d.host(50 + i), "i-portal" + i, Deployment.ZONES[i % 3], d.store, log, i));
      }
      for (int daemon = 0; daemon < 3; daemon++) {
        d.start(daemon);
      }
      if (!d.awaitReady(40)) {
        log.line("the daemons did not become ready");
        System.exit(2);
      }
      Thread.sleep(4_000);
      AtomicInteger right = new AtomicInteger();
      AtomicInteger wrong = new AtomicInteger();
      AtomicInteger failed = new AtomicInteger();
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < 18; i++) {
        int client = i;
        Thread thread = new Thread(() -> ask(d, client, right, wrong, failed));
        thread.setDaemon(true);
        thread.start();
        clients.add(thread);
      }
      Thread.sleep(5_000);
      if (hasTrouble) {
        log.line("two of six replicas spoil 0.02 of their answers");
        replicas.get(0).spoiledShare = 0.02;
        replicas.get(1).spoiledShare = 0.02;
      }
      Thread.sleep(5_500);
      replicas.forEach(replica -> replica.spoiledShare = 0);
      Thread.sleep(2_000);
      isStopped = true;
      for (Thread thread : clients) {
        thread.join(3_000);
      }
      int spoiled = replicas.stream().mapToInt(replica -> replica.spoiled.get()).sum();
      log.line("spoiled answers=" + spoiled + " successes with the replica's body=" + right + " successes with other bytes=" + wrong
          + " other answers=" + failed + " daemons that ended by themselves=" + d.ends);
      boolean isBroken = wrong.get() > 0;
      log.line(isBroken ? "MIXED is broken" : "MIXED holds");
      code = isBroken ? 1 : right.get() >= 200 && (spoiled > 0 || !hasTrouble) ? 0 : 2;
    } catch (Exception e) {
      code = 2;
      e.printStackTrace();
    }
    log.close();
    System.exit(code);
  }

  private static void ask(Deployment d, int client, AtomicInteger right, AtomicInteger wrong, AtomicInteger failed) {
    for (int i = 0; !isStopped; i++) {
      String id = "q" + client + "n" + i;
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("X-Amaranthstream-Request-Id", id);
      headers.put("X-Amaranthstream-Deadline-Ms", "2500");
      try {
        Http.Answer answer = d.call(client % 3, "POST", "/lohu930/" + id, headers, new byte[600], 3_500);
        String text = new String(answer.body, StandardCharsets.ISO_8859_1);
        String seal = answer.headers.get("x-amaranthstream-response-seal");
        if (answer.status != 200) {
          failed.incrementAndGet();
          d.log.line("answered request=" + id + " status=" + answer.status);
        } else if (seal != null && text.equals(RawReplica.BODIES.get(seal))) {
          right.incrementAndGet();
        } else {
          wrong.incrementAndGet();
          d.log.line("answered request=" + id + " status=200 seal=" + seal + " body=" + text.replace("\r\n", "\\r\\n"));
        }
      } catch (IOException e) {
        failed.incrementAndGet();
        d.log.line("no answer request=" + id + " cause=" + e);
      }
      try {
        Thread.sleep(40);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
