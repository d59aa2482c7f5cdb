package org.amaranthstream.fleet;

import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.JobId;

/** Keys in the store that all daemons watch. They change seldom. */
public final class FleetKeys {
  /** What the keys of this class begin with. */
  public static final String PREFIX = "amaranthstream/fleet/";

  /** What the registrations of daemons begin with. */
  static final String NODES = PREFIX + "nodes/";

  /** What the holders of duties begin with. */
  static final String DUTIES = PREFIX + "duties/";

  /** What the notices of jobs that ended without their owner's knowledge begin with. */
  public static final String ENDED_JOBS = PREFIX + "ended/";

  /** The key with which daemons prove themselves to each other. */
  static final String SECRET = PREFIX + "secret";

  /** What the releases of duties begin with. */
  static final String RELEASES = PREFIX + "releases/";

  /** What the notes begin with that the holders of duties have started to act. */
  static final String STARTS = PREFIX + "starts/";

  private FleetKeys() {}

  static String node(EntryVmId vm) {
    return NODES + vm;
  }

  static String duty(String name) {
    return DUTIES + name;
  }

  static String release(String duty) {
    return RELEASES + duty;
  }

  static String start(String duty) {
    return STARTS + duty;
  }

  /** Returns the key that tells the owner of {@code job} that the job has ended. */
  public static String endedJob(JobId job) {
    return ENDED_JOBS + job;
  }
}
