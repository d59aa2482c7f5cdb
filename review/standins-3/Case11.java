import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One batch job that is shorter than maxBodyBytes, while clients have lookups in flight. */
public final class Case11 {
  private static final int MAX_BODY_BYTES = 33_554_432;

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[0]).toAbsolutePath());
    int code = 2;
    try (Deployment d = new Deployment(Path.of("").toAbsolutePath(), log)) {
      d.configure(1);
      d.addReplicas(4, 12, 4);
      d.replicas.forEach(replica -> replica.workMs = 900);
      for (int daemon = 0; daemon < 3; daemon++) {
        d.start(daemon);
      }
      if (!d.awaitReady(40)) {
        log.line("the daemons did not become ready");
        System.exit(2);
      }
      Thread.sleep(4_000);
      List<KeptClient> clients = new ArrayList<>();
      for (int i = 0; i < 9; i++) {
        clients.add(new KeptClient(d, i % 3));
      }
      Thread.sleep(3_000);
      byte[] body = Jobs.body("7c41e0", 200, hasTrouble ? 100_000 : 600, 1);
      log.line("the batch job has " + body.length + " bytes, allowed are " + MAX_BODY_BYTES);
      boolean isAccepted = false;
      // After no answer the same batch job arrives again, at another daemon.
      for (int attempt = 0; attempt < 6 && !isAccepted; attempt++) {
        int daemon = attempt % 3;
        log.line("submit batch job=7c41e0 daemon=" + daemon + " attempt=" + attempt);
        try {
          Http.Answer answer = d.call(daemon, "POST", "/pufi791/7c41e0", Jobs.headers("7c41e0"), body, 12_000);
          log.line("batch job=7c41e0 daemon=" + daemon + " status=" + answer.status + " " + answer.text());
          isAccepted = answer.status == 202;
        } catch (IOException e) {
          log.line("batch job=7c41e0 daemon=" + daemon + " got no answer: " + e);
        }
        Thread.sleep(1_500);
        if (!d.daemons.get(daemon).isAlive()) {
          d.start(daemon);
        }
      }
      Thread.sleep(3_000);
      int cut = 0;
      int answered = 0;
      for (KeptClient client : clients) {
        client.close();
        cut += client.cut.get();
        answered += client.answered.get();
      }
      boolean isBroken = cut > 3;
      log.line("lookups answered=" + answered + " run and closed without an answer=" + cut
          + " daemons that ended by themselves=" + d.ends.size() + " accepted=" + isAccepted);
      log.line(isBroken ? "LOST is broken" : "LOST holds");
      code = isBroken ? 1 : answered < 20 ? 2 : 0;
    } catch (Exception e) {
      code = 2;
      e.printStackTrace();
    }
    System.exit(code);
  }
}
