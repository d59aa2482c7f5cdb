import java.nio.file.Path;

/** A batch job that is refused at every attempt while its write in the store takes effect. */
final class RefusedJobCase {
  private static final String JOB = "7c41e09b52d6a3f8";

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]));
    lab.putConfig(Lab.config(7, Lab.routes()));
    lab.addEngine("i-aaaa0001", "zone-a");
    lab.addEngine("i-aaaa0002", "zone-b");
    Daemon first = lab.addDaemon("edge-a-1", "zone-a");
    Daemon second = lab.addDaemon("edge-b-1", "zone-b");
    if (!lab.startAll()) {
      lab.end(Lab.NOT_RUN);
    }
    boolean[] isLost = new boolean[1];
    lab.store.fate =
        call -> {
          boolean isJob =
              call.path.equals("/v1/kv-txn") && call.body.contains("amaranthstream/jobs/" + JOB);
          if (isJob && Lab.hasTrouble() && !isLost[0]) {
            isLost[0] = true;
            lab.record.add("store does the write of batch job %s; its answer is lost", JOB);
            return Store.Fate.ANSWER_LOST;
          }
          return Store.Fate.ANSWERED;
        };
    byte[] body = Lab.job(JOB, 2, 4, 60);
    Client.Answer[] answers = new Client.Answer[2];
    Thread client =
        new Thread(
            () -> {
              answers[0] = lab.submit(first, JOB, body, 12_000);
              if (answers[0].status() == 503) {
                pause(retryAfterMs(answers[0]));
                answers[1] = lab.submit(second, JOB, body, 11_000);
              }
            });
    client.start();
    Thread.sleep(300);
    if (Lab.hasTrouble()) {
      first.signal("TERM");
      second.signal("TERM");
    }
    client.join();
    Thread.sleep(6_000);
    int runs = lab.runsOf(JOB.substring(0, 12)).size();
    boolean isRefused =
        answers[0].status() == 503 && (answers[1] == null || answers[1].status() == 503);
    lab.record.add("all attempts refused: %s; runs of items of the job: %d", isRefused, runs);
    if (!isRefused && answers[0].status() != 202) {
      lab.end(Lab.NOT_RUN);
    }
    lab.end(isRefused && runs > 0 ? Lab.BROKEN : Lab.HELD);
  }

  private static long retryAfterMs(Client.Answer answer) {
    String seconds = answer.headers().getOrDefault("Retry-After", "0.2");
    return (long) (Double.parseDouble(seconds) * 1000);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
