import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A daemon that owns a batch job is suspended for some seconds, and another daemon takes the job
 * over.
 *
 * <p>Mode "read": the job is submitted right after the version of the weights that it needs was
 * named, as a trainer does. The caller reads results at the new owner and then at the former one.
 * The check: what was read is there at a machine in touch, later than settleMs after it was read.
 *
 * <p>Mode "end": the caller ends the job at the new owner. The check: no item of the job reaches a
 * replica and runs later than cancelMs after the acknowledgement, from a machine in touch.
 */
final class StaleOwner {
  private static final int CANCEL_MS = 3000;
  private static final int SETTLE_MS = 1000;
  private static final int CONTACT_MS = 3000;
  private static final int FREEZE_MS = 5000;

  /** The time from the start of the freeze to the end of the job; the takeover takes about 3 s. */
  private static final int END_AFTER_MS = 4500;

  private static final String JOB = "7c41e09b52d6a3f8";

  private final boolean isTroubled;
  private final Deployment deployment = new Deployment(3);
  private final Replica first;
  private final Replica second;
  private Deployment.Daemon owner = deployment.daemons.get(0);
  private Deployment.Daemon other = deployment.daemons.get(1);

  private StaleOwner(boolean isTroubled, int slots, int events) throws Exception {
    this.isTroubled = isTroubled;
    deployment.store.put("op/config", Deployment.config(3, Deployment.BATCH_ROUTE));
    first = new Replica(deployment.store, "i-r1", "127.0.0.1", "llm", "zone-a", slots);
    second = new Replica(deployment.store, "i-r2", "127.0.0.1", "llm", "zone-b", slots);
    first.events = events;
    second.events = events;
  }

  public static void main(String[] args) throws Exception {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Record.open(Path.of(args[1]));
    int code = 2;
    try {
      boolean isRead = args[0].equals("read");
      StaleOwner test = isRead ? new StaleOwner(isTroubled, 8, 80) : new StaleOwner(isTroubled, 4, 100);
      code = (isRead ? test.read() : test.end()) ? 0 : 1;
    } catch (Exception e) {
      Record.log("the case could not run: " + e);
    }
    Record.log("exit " + code);
    System.exit(code);
  }

  /** Makes the holder of the weights another daemon than the one that is suspended. */
  private void awaitLeader() throws Exception {
    for (int i = 0; i < 200; i++) {
      String start = deployment.store.get("amaranthstream/fleet/starts/weights");
      if (start != null) {
        String holder = start.substring(0, start.indexOf('/'));
        Record.log("the weights are ordered by " + holder);
        if (holder.equals(owner.name)) {
          Deployment.Daemon swapped = owner;
          owner = other;
          other = swapped;
        }
        return;
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException("no daemon orders the weights");
  }

  private void submit(int minVersion) throws Exception {
    Http.Message accepted =
        deployment.call(
            owner,
            "POST /batch/7c41e0",
            "X-Amaranthstream-Request-Id: " + JOB + "\r\nX-Amaranthstream-Deadline-Ms: 5000\r\n",
            Deployment.job(JOB, 2, 8, 600, minVersion),
            6000);
    if (accepted == null || accepted.status() != 202) {
      throw new IllegalStateException("the job was not accepted");
    }
  }

  private void signal(String signal) throws Exception {
    if (isTroubled) {
      deployment.signal(owner, signal);
    }
  }

  /** Returns the number of results from position 0 on that the daemon lists, -1 if it fails. */
  private long results(Deployment.Daemon daemon) {
    Http.Message reply =
        deployment.call(daemon, "GET /v1/lots/" + JOB + "?after=0", "", "", 4000);
    if (reply == null || reply.status() != 200) {
      return reply != null && (reply.status() == 404 || reply.status() == 410) ? 0 : -1;
    }
    Map<String, Object> body = Json.object(reply.text());
    return (Long) body.get("next");
  }

  private boolean read() throws Exception {
    deployment.start();
    awaitLeader();
    Thread.sleep(1000);
    deployment.store.put("op/version/m1", "{\"model\":\"m1\",\"version\":2}");
    Record.log("version 2 is named");
    submit(2);
    Thread.sleep(200);
    signal("STOP");
    Thread.sleep(FREEZE_MS);
    signal("CONT");
    long inTouchMs = Record.now() + (isTroubled ? CONTACT_MS : 0);
    long readMs = 0;
    long read = 0;
    int missing = 0;
    int complete = 0;
    long endMs = Record.now() + 25_000;
    while (Record.now() < endMs) {
      if (read == 0) {
        read = Math.max(0, results(other));
        readMs = Record.now();
      } else if (Record.now() > Math.max(readMs + SETTLE_MS, inTouchMs)) {
        long listed = results(owner);
        if (listed >= 0 && listed < 1) {
          missing++;
          Record.log("MISSING: position 0 was read at " + readMs + " and is not there");
        }
        complete += listed >= 1 ? 1 : 0;
      }
      Thread.sleep(400);
    }
    summarize();
    Record.log("reads without the result that had been read: " + missing + ", with: " + complete);
    if (read == 0) {
      throw new IllegalStateException("no result was read");
    }
    return missing == 0;
  }

  private boolean end() throws Exception {
    deployment.start();
    Thread.sleep(4000);
    submit(1);
    Thread.sleep(500);
    signal("STOP");
    Thread.sleep(END_AFTER_MS);
    long ackMs = 0;
    for (int attempt = 0; attempt < 10 && ackMs == 0; attempt++) {
      Http.Message ended = deployment.call(other, "DELETE /v1/lots/" + JOB, "", "", 4000);
      if (ended != null && ended.status() == 200) {
        ackMs = Record.now();
      } else {
        Thread.sleep(300);
      }
    }
    if (ackMs == 0) {
      throw new IllegalStateException("the end of the job was not acknowledged");
    }
    Record.log("the end of the job is acknowledged");
    Thread.sleep(FREEZE_MS - END_AFTER_MS);
    signal("CONT");
    long bound = Math.max(ackMs + CANCEL_MS, Record.now() + (isTroubled ? CONTACT_MS : 0));
    Thread.sleep(12_000);
    int late = 0;
    for (Replica replica : List.of(first, second)) {
      late += (int) replica.runs().stream().filter(run -> run.arrivedMs > bound).count();
    }
    summarize();
    Record.log("items that arrived after " + bound + " and ran: " + late);
    return late == 0;
  }

  private void summarize() throws Exception {
    for (Replica replica : List.of(first, second)) {
      for (Replica.Run run : replica.runs()) {
        Record.log("run " + run);
      }
    }
    for (Deployment.Daemon daemon : deployment.daemons) {
      deployment.recordLog(daemon, "job_", "lease_ended", "event=registered", "results_");
    }
  }
}
