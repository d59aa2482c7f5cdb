import java.nio.file.Path;
import java.util.Map;

/**
 * A configuration removes the batch route of a job whose results have been read. The check: no
 * machine in touch answers 404 or 410 for the job later than settleMs after it was accepted.
 */
final class RemovedRoute {
  private static final int CONFIG_MS = 2500;
  private static final String JOB = "7c41e09b52d6a3f8";

  private RemovedRoute() {}

  public static void main(String[] args) throws Exception {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Record.open(Path.of(args[0]));
    int code = 2;
    try {
      code = run(isTroubled) ? 0 : 1;
    } catch (Exception e) {
      Record.log("the case could not run: " + e);
    }
    Record.log("exit " + code);
    System.exit(code);
  }

  private static boolean run(boolean isTroubled) throws Exception {
    Deployment deployment = new Deployment(3);
    Store store = deployment.store;
    String routes = Deployment.BATCH_ROUTE + "," + Deployment.PLAIN_ROUTE;
    store.put("op/config", Deployment.config(3, routes));
    Replica engine = new Replica(store, "i-r1", "127.0.0.1", "llm", "zone-a", 16);
    engine.events = 10;
    engine.eventMs = 50;
    deployment.start();
    Thread.sleep(2000);
    Http.Message accepted =
        deployment.call(
            deployment.daemons.get(0),
            "POST /batch/7c41e0",
            "X-Amaranthstream-Request-Id: " + JOB + "\r\nX-Amaranthstream-Deadline-Ms: 5000\r\n",
            Deployment.job(JOB, 2, 4, 600),
            6000);
    if (accepted == null || accepted.status() != 202) {
      throw new IllegalStateException("the job was not accepted");
    }
    long read = 0;
    for (int i = 0; i < 20 && read < 8; i++) {
      Thread.sleep(500);
      Http.Message reply = read(deployment, deployment.daemons.get(1));
      read = reply == null ? 0 : (Long) Json.object(reply.text()).get("next");
    }
    if (read < 8) {
      throw new IllegalStateException("the results were not read");
    }
    String next = isTroubled ? Deployment.PLAIN_ROUTE : routes;
    store.put("op/config", Deployment.config(7, next));
    Record.log("configuration 7 is acknowledged" + (isTroubled ? "; it has no batch route" : ""));
    Thread.sleep(CONFIG_MS + 500);
    int lost = 0;
    for (int i = 0; i < 10; i++) {
      for (Deployment.Daemon daemon : deployment.daemons) {
        Http.Message reply = read(deployment, daemon);
        if (reply == null) {
          continue;
        }
        boolean isLost = reply.status() == 404 || reply.status() == 410;
        if (reply.status() == 200) {
          Map<String, Object> body = Json.object(reply.text());
          isLost = (Long) body.get("next") < read;
        }
        lost += isLost ? 1 : 0;
      }
      Thread.sleep(1000);
    }
    Record.log("answers that deny the job or results that had been read: " + lost);
    return lost == 0;
  }

  private static Http.Message read(Deployment deployment, Deployment.Daemon daemon) {
    return deployment.call(daemon, "GET /v1/lots/" + JOB + "?after=0", "", "", 4000);
  }
}
