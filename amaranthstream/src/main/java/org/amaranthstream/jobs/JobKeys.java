package org.amaranthstream.jobs;

import org.amaranthstream.ids.JobId;

/** Keys of batch jobs in the store. */
final class JobKeys {
  static final String OWNERS = "amaranthstream/owners/";
  private static final String JOBS = "amaranthstream/jobs/";
  private static final String RESULTS = "amaranthstream/results/";
  private static final String PROGRESS = "amaranthstream/progress/";

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

  static String progress(JobId job) {
    return PROGRESS + job + "/";
  }

  /** Returns the key of the page with the number {@code page} of saved texts. */
  static String progressPage(JobId job, int page) {
    return String.format("%s%06d", progress(job), page);
  }

  /** Returns the number of a page from its key. */
  static int numberOfPage(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }

  /** Returns the key of the page whose first result has {@code position}. */
  static String page(JobId job, int position) {
    return String.format("%s%06d", results(job), position);
  }
}
