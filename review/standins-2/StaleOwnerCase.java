import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A former owner of a batch job that runs the items of the job after the job was ended. */
final class StaleOwnerCase {
  private static final String JOB = "9d41e09b52d6a3f8";
  private static final int DAEMONS = 5;
  private static final long FREEZE_MS = 3_500;
  private static final long CANCEL_MS = 3_000;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]));
    lab.putConfig(Lab.config(7, Lab.routes()));
    lab.addEngine("i-aaaa0001", "zone-a");
    lab.addEngine("i-aaaa0002", "zone-b");
    for (int i = 1; i <= DAEMONS; i++) {
      lab.addDaemon("edge-a-" + i, "zone-a");
    }
    if (!lab.startAll()) {
      lab.end(Lab.NOT_RUN);
    }
    Daemon frozen = daemonThatReadsNoOwners(lab);
    Daemon other = lab.daemons.get(lab.daemons.get(0) == frozen ? 1 : 0);
    byte[] body = Lab.job(JOB, 2, 8, 60, 2);
    if (lab.submit(frozen, JOB, body, 12_000).status() != 202) {
      lab.end(Lab.NOT_RUN);
    }
    Thread.sleep(1_000);
    if (Lab.hasTrouble()) {
      freeze(lab, frozen);
    }
    Thread.sleep(2_000);
    Client.Answer end = lab.delete(other, "/v1/lots/" + JOB);
    for (int tries = 1; tries < 5 && end.status() != 200; tries++) {
      Thread.sleep(500);
      end = lab.delete(other, "/v1/lots/" + JOB);
    }
    long ended = System.nanoTime();
    if (end.status() != 200) {
      lab.end(Lab.NOT_RUN);
    }
    Thread.sleep(4_000);
    lab.record.add("trainer names version 2 of %s", Lab.MODEL);
    lab.store.put(
        "op/version/" + Lab.MODEL, Json.write(Json.of("model", Lab.MODEL, "version", 2L)));
    Thread.sleep(12_000);
    long late =
        lab.runsOf(JOB.substring(0, 12)).stream()
            .filter(run -> run.nanos() - ended > CANCEL_MS * 1_000_000)
            .count();
    lab.record.add(
        "items of the job that ran later than %d ms after the acknowledgement of its end: %d",
        CANCEL_MS, late);
    lab.end(late > 0 ? Lab.BROKEN : Lab.HELD);
  }

  /**
   * Returns a daemon that doesn't list the owners of all jobs every few seconds; three of them do.
   */
  private static Daemon daemonThatReadsNoOwners(Lab lab) throws InterruptedException {
    Set<String> readers = new HashSet<>();
    lab.store.fate =
        call -> {
          if (call.path.equals("/v1/kv-range") && call.query.contains("owners")) {
            synchronized (readers) {
              readers.add(call.caller);
            }
          }
          return Store.Fate.ANSWERED;
        };
    Thread.sleep(11_000);
    lab.store.fate = call -> Store.Fate.ANSWERED;
    lab.record.add("daemons that list the owners of all jobs: %s", readers);
    List<Daemon> others = new ArrayList<>(lab.daemons);
    others.removeIf(daemon -> readers.contains(daemon.name));
    return others.isEmpty() ? lab.daemons.get(0) : others.get(0);
  }

  /** Freezes a daemon right after it has renewed its lease; the takeover of its job is late. */
  private static void freeze(Lab lab, Daemon frozen) throws Exception {
    boolean[] isRenewed = new boolean[1];
    boolean[] isLate = new boolean[1];
    lab.store.fate =
        call -> {
          if (call.caller.equals(frozen.name) && call.path.startsWith("/v1/kv-keep/")) {
            isRenewed[0] = true;
          }
          boolean isTakeover =
              call.path.equals("/v1/kv-txn")
                  && !call.caller.equals(frozen.name)
                  && call.body.contains("amaranthstream/owners/" + JOB);
          if (isTakeover && !isLate[0]) {
            isLate[0] = true;
            lab.record.add(
                "store gets a write of the owner of %s from %s; it is done late", JOB, call.caller);
            return Store.Fate.LATE;
          }
          return Store.Fate.ANSWERED;
        };
    while (!isRenewed[0]) {
      Thread.sleep(5);
    }
    Thread.sleep(100);
    frozen.signal("STOP");
    Thread.sleep(FREEZE_MS);
    frozen.signal("CONT");
  }
}
