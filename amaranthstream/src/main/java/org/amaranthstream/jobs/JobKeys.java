package org.amaranthstream.jobs;

import org.amaranthstream.ids.JobId;

/** Keys of batch jobs in the store. */
final class JobKeys {
  static final String OWNERS = "amaranthstream/owners/";
  private static final String JOBS = "amaranthstream/jobs/";
  private static final String RESULTS = "amaranthstream/results/";

  private JobKeys() {}

  static String owner(JobId job) {
    return OWNERS + job;
  }

  static JobId jobOfOwner(String key) {
    return JobId.of(key.substring(OWNERS.length()));
  }

  static String part(JobId job, int part) {
    return JOBS + job + "/" + part;
  }

  static String results(JobId job) {
    return RESULTS + job + "/";
  }

  /** Returns the key of the page whose first result has {@code position}. */
  static String page(JobId job, int position) {
    return String.format("%s%06d", results(job), position);
  }
}
