import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The owner of one large batch job is killed, while clients ask the other daemons for item bodies. */
public final class Case13 {
  private static final int DARK_MILLIS = 3_500;
  private static final int READERS_PER_DAEMON = 10;
  private static final int ITEMS = 180;
  private static volatile boolean isStopped;

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[0]).toAbsolutePath());
    int code = 2;
    try (Deployment d = new Deployment(Path.of("").toAbsolutePath(), log)) {
      d.configure(1);
      d.addReplicas(2, 12, 6);
      d.replicas.forEach(replica -> {
        replica.workMs = 900;
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
      byte[] body = Jobs.body("7c41e0", ITEMS, 80_000, 1);
      int status = d.call(0, "POST", "/pufi791/7c41e0", Jobs.headers("7c41e0"), body, 12_000).status;
      log.line("batch job=7c41e0 bytes=" + body.length + " daemon=0 status=" + status);
      List<KeptClient> clients = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        clients.add(new KeptClient(d, 1 + i % 2));
        Thread.sleep(110);
      }
      AtomicInteger bodies = new AtomicInteger();
      for (int i = 0; i < 2 * READERS_PER_DAEMON; i++) {
        int reader = i;
        Thread thread = new Thread(() -> readBodies(d, 1 + reader % 2, reader, bodies));
        thread.setDaemon(true);
        thread.start();
      }
      Thread.sleep(4_000);
      int before = bodies.get();
      if (hasTrouble) {
        d.signal(0, "KILL");
        Thread.sleep(DARK_MILLIS);
        d.start(0);
      }
      for (int i = 0; i < 12; i++) {
        Thread.sleep(1_000);
        // The platform starts a process again that has ended.
        for (int daemon : List.copyOf(d.daemons.keySet())) {
          if (!d.daemons.get(daemon).isAlive()) {
            d.start(daemon);
          }
        }
      }
      isStopped = true;
      int cut = 0;
      int answered = 0;
      for (KeptClient client : clients) {
        client.close();
        cut += client.cut.get();
        answered += client.answered.get();
      }
      boolean isBroken = cut > 3;
      log.line("bodies read before=" + before + " after=" + (bodies.get() - before) + " lookups answered=" + answered
          + " run and closed without an answer=" + cut + " daemons that ended by themselves=" + d.ends);
      log.line(isBroken ? "LOST is broken" : "LOST holds");
      code = isBroken ? 1 : status == 202 && before > 0 && answered >= 20 ? 0 : 2;
    } catch (Exception e) {
      code = 2;
      e.printStackTrace();
    }
    System.exit(code);
  }

  /** Asks for the bodies of items one after the other, each on a connection of its own. */
  private static void readBodies(Deployment d, int daemon, int reader, AtomicInteger bodies) {
    for (int i = reader; !isStopped; i++) {
      String item = "7c41e0x" + (ITEMS - 1 - i % 100);
      String text;
      try {
        int status = d.call(daemon, "GET", "/v1/items/7c41e0?id=" + item, Map.of(), new byte[0], 4_000).status;
        text = "status=" + status;
        bodies.addAndGet(status == 200 ? 1 : 0);
      } catch (IOException e) {
        text = "no answer: " + e;
      }
      d.log.line("body item=" + item + " daemon=" + daemon + " " + text);
      try {
        Thread.sleep(250);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
