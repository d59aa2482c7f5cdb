package org.amaranthstream.fleet;

import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.JobId;

/** The keys of the store that every daemon watches. Their entries change seldom. */
public final class FleetKeys {
  /** Prefix of all keys of this class. */
  public static final String PREFIX = "amaranthstream/fleet/";

  /** Prefix of the registrations of daemons. */
  static final String NODES = PREFIX + "nodes/";

  /** Prefix of the entries that name the holders of leader leases. */
  static final String LEADER_LEASES = PREFIX + "duties/";

  /** Prefix of the notices of jobs that another daemon than the owner has ended. */
  public static final String ENDED_JOBS = PREFIX + "ended/";

  /** Key of the shared secret with which daemons authenticate to each other. */
  static final String SECRET = PREFIX + "secret";

  /** Prefix of the release records of leader leases. */
  static final String RELEASES = PREFIX + "releases/";

  /** Prefix of the start records of leader leases. */
  static final String STARTS = PREFIX + "starts/";

  private FleetKeys() {}

  static String node(EntryVmId vm) {
    return NODES + vm;
  }

  static String leaderLease(String name) {
    return LEADER_LEASES + name;
  }

  static String release(String leaderLease) {
    return RELEASES + leaderLease;
  }

  static String start(String leaderLease) {
    return STARTS + leaderLease;
  }

  /** Returns the key of the notice to the owner of {@code job} that the job has ended. */
  public static String endedJob(JobId job) {
    return ENDED_JOBS + job;
  }
}
